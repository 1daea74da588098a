build2/programs/flamingo-schedd.o: programs/flamingo-schedd.c \
 lib/cli/daemon.h lib/node/settings.h lib/common/schema.h \
 lib/common/error.h lib/common/str.h lib/lease/lease.h lib/sched/sched.h
lib/cli/daemon.h:
lib/node/settings.h:
lib/common/schema.h:
lib/common/error.h:
lib/common/str.h:
lib/lease/lease.h:
lib/sched/sched.h:
