build2/programs/flamingo-entryd.o: programs/flamingo-entryd.c \
 lib/cli/daemon.h lib/node/settings.h lib/common/schema.h \
 lib/common/error.h lib/common/str.h lib/lease/lease.h lib/entry/entry.h
lib/cli/daemon.h:
lib/node/settings.h:
lib/common/schema.h:
lib/common/error.h:
lib/common/str.h:
lib/lease/lease.h:
lib/entry/entry.h:
