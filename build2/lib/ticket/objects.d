build2/lib/ticket/objects.o: lib/ticket/objects.c lib/ticket/objects.h \
 lib/common/schema.h lib/common/error.h lib/common/str.h
lib/ticket/objects.h:
lib/common/schema.h:
lib/common/error.h:
lib/common/str.h:
