build2/lib/cli/daemon.o: lib/cli/daemon.c lib/cli/daemon.h \
 lib/node/settings.h lib/common/schema.h lib/common/error.h \
 lib/common/str.h lib/lease/lease.h
lib/cli/daemon.h:
lib/node/settings.h:
lib/common/schema.h:
lib/common/error.h:
lib/common/str.h:
lib/lease/lease.h:
