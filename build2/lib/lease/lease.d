build2/lib/lease/lease.o: lib/lease/lease.c lib/lease/lease.h \
 lib/common/str.h
lib/lease/lease.h:
lib/common/str.h:
