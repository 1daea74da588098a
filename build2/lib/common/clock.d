build2/lib/common/clock.o: lib/common/clock.c lib/common/clock.h
lib/common/clock.h:
