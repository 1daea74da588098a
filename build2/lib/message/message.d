build2/lib/message/message.o: lib/message/message.c lib/message/message.h \
 lib/common/schema.h lib/common/error.h lib/common/str.h \
 lib/ticket/objects.h
lib/message/message.h:
lib/common/schema.h:
lib/common/error.h:
lib/common/str.h:
lib/ticket/objects.h:
