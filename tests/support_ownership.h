/* Simulates the leader election of some hosts and a store on a virtual clock, with faults of store
 * calls and of hosts. At no time may two hosts have authority, and the fencing token must increase
 * with each acquisition. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define ELECTION_HOSTS_MAX 4
#define ELECTION_ACQUISITIONS_MAX 64
#define ELECTION_REPLY_DELAY_MS 10
#define ELECTION_NEW_TERM_RETRY_MS 2000
/* Lease that a heartbeat gives a target. */
#define ELECTION_TARGET_LEASE_MS 4500
#define ELECTION_TARGET_LEASE_MAX_MS 6000
#define ELECTION_FAULT_PHASE_MS 6000
#define ELECTION_FAULT_INTERVAL_MS 500
#define ELECTION_FAULT_INTERVAL_COUNT (ELECTION_FAULT_PHASE_MS / ELECTION_FAULT_INTERVAL_MS)

/* The kinds before CALL_FAULT_KINDS concern one store call, the others happen to a host. */
enum fault_kind
{
  CALL_REJECTED,
  CALL_LOST,             /* not executed, no reply */
  CALL_REPLY_LOST,       /* executed, but its reply is lost */
  CALL_APPLIED_LATE,     /* no reply; executed seconds later if its conditions still hold */
  CALL_APPLIED_REJECTED, /* executed, but its reply says that it was rejected */
  CALL_APPLIED_CONFLICT, /* executed, then a copy of it, whose reply the caller gets */
  CALL_REPLY_LOST_TWICE, /* executed, but its reply and the next call of the host are lost */
  CALL_REPLY_LATE,       /* executed, but its reply arrives after a lease that it gives has ended */
  CALL_FAULT_KINDS,
  HOST_PAUSED_SHORT = CALL_FAULT_KINDS, /* suspended for 1 s; its clock advances */
  HOST_PAUSED_LONG,                     /* suspended for 4 s */
  HOST_ISOLATED,                        /* cannot reach the store for 3 s */
  HOST_KILLED,                          /* killed and restarted at once */
  HOST_STOPPED,                         /* releases the pool and is restarted */
  HOST_DEAD,                            /* killed for good */
  HOST_CUT_OFF,                         /* cannot reach the store any more */
  FAULT_KINDS
};

/* A fault at a numbered call of all hosts, or of a host at an interval. */
struct fault
{
  enum fault_kind kind;
  int position; /* number of the call, or interval * number of hosts + index of the host */
};

enum election_call
{
  ELECTION_READ,
  ELECTION_ACQUISITION,
  ELECTION_RENEWAL,
  ELECTION_CALL_TYPES
};

/* A fault of @count calls of one type of one host in a row. */
struct call_fault
{
  enum fault_kind kind; /* before CALL_FAULT_KINDS */
  int host;             /* -1 for all hosts */
  enum election_call type;
  int64_t from_ms; /* the first call is the first one sent at or after this time */
  int count;
};

/* A time in which the store executes no call. */
struct store_outage
{
  int64_t from_ms;
  int64_t until_ms;
};

struct election_options
{
  int host_count;
  int64_t duration_ms;
  const struct fault *faults;
  size_t fault_count;
  const struct call_fault *call_faults;
  size_t call_fault_count;
  struct store_outage outage;                    /* none if it is empty */
  int64_t reply_delay_ms;                        /* of all calls; 0 for ELECTION_REPLY_DELAY_MS */
  int64_t acquire_delays_ms[ELECTION_HOSTS_MAX]; /* see struct fl_ownership_options */
  int clock_errors[ELECTION_HOSTS_MAX];          /* of the hosts' clocks, in thousandths */
  int64_t new_term_from_ms; /* from then on, host 0 begins one new term as owner; 0 for none */
};

struct acquisition
{
  int64_t at_ms;
  int host;
  bool previous_owner_may_be_active;
  /* When the new owner counts what earlier owners ordered as ended. */
  int64_t reconciled_at_ms;
};

struct election_result
{
  char violation[128];      /* the first one, with its time; empty if there is none */
  int64_t last_acquisition; /* number of the last acquisition, by its token */
  int with_authority;       /* hosts that have authority in the end */
  int64_t authority_ms;     /* for how long in all a host has had authority */
  int64_t last_loss_ms;     /* when a host last lost the pool; 0 for never */
  int new_terms;            /* acquisitions by the host that owned the pool before */
  struct acquisition acquisitions[ELECTION_ACQUISITIONS_MAX]; /* by number; at_ms is 0 for none */
  int64_t last_heartbeat_ms[ELECTION_HOSTS_MAX];      /* when an owner last sent heartbeats */
  int calls[ELECTION_HOSTS_MAX][ELECTION_CALL_TYPES]; /* sent */
};

void election_simulate (const struct election_options *options, struct election_result *result);
