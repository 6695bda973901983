/** @file
 * Declarations that only the files of the fleet module share.
 *
 * fleet.c          heartbeats, messages and the public interface
 * fleet_peers.c    connections to the other members and their liveness
 * fleet_owners.c   which member claims which service
 * fleet_voters.c   which members are voters
 */
#ifndef SESSION_FLEET_PRIVATE_H
#define SESSION_FLEET_PRIVATE_H

#include "common/log.h"
#include "core/lease.h"
#include "core/placement.h"
#include "net/bus.h"
#include "net/stream.h"
#include "session/fleet.h"
#include "session/voters.h"

#include <inttypes.h>
#include <stdlib.h>

#define PART "fleet"
/* Messages of this size are entered in the account of memory.  Smaller ones
   are not worth it. */
#define FLEET_CHARGED_BYTES ((size_t)16 << 10)

/* Duration of a lease on a service.  A failed owner is replaced after this
   time; up to four heartbeats in a row may be lost without losing the
   lease. */
#define LEASE_DURATION_US (1000 * USEC_PER_MSEC)
/* Period of the heartbeats between two voters. */
#define HEARTBEAT_US (200 * USEC_PER_MSEC)
/* Period of the checks for silent peers, services without an owner and due
   heartbeats. */
#define TICK_US (50 * USEC_PER_MSEC)
/* Between a voter and an observer the heartbeat period and the time-outs for
   silence are longer by this factor. */
#define OBSERVER_TIME_FACTOR 2
/* For this time only the named successor claims a released service. */
#define SUCCESSOR_CLAIM_US (400 * USEC_PER_MSEC)
/* A voter that has been silent for this time is removed from the list of
   voters. */
#define VOTER_REMOVE_US (7 * USEC_PER_SEC)
/* While fewer further voters than this may be lost, those that leave are
   removed from the list at once. */
#define VOTERS_TO_SPARE 2
/* The state of an observer that has been silent for this time is freed.
   Until then voters send it occasional heartbeats, so that it finds them even
   without the store. */
#define OBSERVER_FORGET_US (60 * USEC_PER_SEC)
/* A heartbeat that the peer has not confirmed after this time is taken as
   lost together with its connection. */
#define HEARTBEAT_CONFIRM_US (100 * USEC_PER_MSEC)

/** A message that the receiver has not confirmed; it is sent again on a new
 * connection. */
struct unconfirmed
{
  struct unconfirmed *next;
  int64_t stamp; /**< Time when it was first sent. */
  struct bstr bytes;
};

/** Another member of the fleet, with the state of the connection to it. */
struct peer
{
  struct peer *next;
  struct fleet *fleet;
  uint64_t id;
  char *name;
  char *address;
  char *failure_domain;
  bool is_voter;
  bool wants_vote; /**< It is an observer that asks to become a voter. */
  bool knows_us;   /**< It has confirmed a heartbeat of this process. */
  /** Its capacity for services, thousandths of a core; see
   * fleet_capacity. */
  int capacity;
  bool leaving; /**< Its process is about to end. */
  bool ready;   /**< See fleet_is_ready. */
  uint64_t incarnation;
  /** Time of the newest heartbeat from it; 0: none yet. */
  int64_t received_at;
  /** Smallest difference seen between the own clock and the stamp of a
   * heartbeat from it. */
  int64_t clock_delta;
  int claim_count; /**< Number of services that it claims or owns. */
  bool reaches_store;
  /** Its address has refused a connection since its newest heartbeat. */
  bool refused;
  /** Test connection that shows whether its process still listens; NULL: no
   * test is running. */
  struct stream *listen_test;
  int64_t last_listen_test; /**< Start of the newest test; 0: none yet. */
  /* State of the messages to it. */
  uint64_t last_sent_number; /**< Serial number of the newest message. */
  struct unconfirmed *unconfirmed;
  struct unconfirmed **unconfirmed_end;
  int64_t heartbeat_sent_at;
  /** Time of an older heartbeat, which it should have confirmed by the time
   the newest one was sent. */
  int64_t previous_heartbeat_sent_at;
  int64_t last_reset; /**< Time of the newest reset of its connection. */
  /** As last_reset; only the first reset after a heartbeat is logged. */
  int64_t last_reset_logged;
  /* State of the messages from it. */
  uint64_t last_received_number;
};

/** What this member knows and does about the ownership of one service. */
struct ownership
{
  uint64_t service; /**< Search key, so it must be the first field. */
  bool is_served;   /**< The service is configured and has endpoints. */
  /** Failure domain of the primary according to its endpoint entry; NULL:
   * not known.  Owned by the directory, valid while services_listed is
   * true. */
  const char *primary_domain;
  int64_t unowned_since; /**< 0: it has an owner. */
  /** Time of the claim, or of the newest check that found this member to be
   * the owner; 0: this member does not claim the service. */
  int64_t claimed_at;
  int64_t pause_until; /**< This member makes no claim before this time. */
  uint64_t successor;  /**< Named successor; 0: none is named. */
  int64_t
      successor_until; /**< Time until which only the successor claims it. */
  /** Successor that the heartbeats announce after this member has released
   * the service, until release_until; 0: none is named. */
  uint64_t release_to;
  int64_t release_until;
  uint64_t logged_owner; /**< Owner in the newest log line; 0: none. */
};

/** This member's view of the fleet. */
struct fleet
{
  struct sessiond *sessiond;
  struct bus *bus;
  struct lease_table *leases;
  struct peer *peers;
  struct ownership *ownerships; /**< Sorted by service. */
  int ownership_count;
  /** The ownerships match the newest configuration and endpoints. */
  bool services_listed;
  /** Time when the periodic heartbeats were last sent. */
  int64_t last_heartbeat_round;
  int64_t started_at;
  int64_t ready_since;   /**< 0: not ready. */
  uint64_t owned_digest; /**< Digest of the services that this member owns. */
  /** Time of the last change of that digest, or of the last move of a service
   * to balance the load. */
  int64_t owned_since;
  struct placement_lag lag; /**< Lag of the event loop. */
  /** Heartbeats are due in the next iteration of the event loop. */
  bool heartbeats_due;
  uint64_t reported_digest; /**< Digest that was last sent to observers. */
  struct tevent_immediate *heartbeat_event; /**< Sends due heartbeats. */
};

/* fleet.c */
/** @return whether this member has the data that it needs to own a
 * service and is not leaving. */
bool fleet_is_ready (const struct fleet *f);

/* fleet_peers.c */
/** @return the peer with this id, NULL if there is none. */
struct peer *peer_find (const struct fleet *f, uint64_t id);
/** Find the peer with this id, or add it. */
struct peer *peer_add (struct fleet *f, uint64_t id);
/** Set one of the peer's strings to a copy of @p value. */
void peer_set_text (struct peer *p, char **text, struct bstr value);
/** @return the factor by which heartbeat period and time-outs are longer than
 * between two voters. */
int peer_time_factor (const struct peer *p);
/** @return whether a heartbeat from it arrived recently and its address has
 * refused no connection since. */
bool peer_is_alive (const struct peer *p, int64_t now);
/** Fill in the sender and send the message.
 * @return false if the peer's address is not known, or a heartbeat could not
 * be sent. */
bool peer_send (struct fleet *f, struct peer *p, struct packet *message);
/** Handle the peer's confirmation that it has received this member's heartbeat
 * with the stamp @p echo: drop the messages sent up to then. */
void peer_confirm (struct peer *p, int64_t echo);
/** Drop all unconfirmed messages, so that they are not sent again. */
void peer_drop_unconfirmed (struct peer *p);
/** Open a new connection to it and send all unconfirmed messages again, unless
 * its connection was reset a short time ago.
 * @param reason text for the log. */
void peer_reset_connection (struct peer *p, int64_t now, const char *reason);
/** Test whether the processes of silent peers still listen, and reset their
 * connections. */
void peers_check (struct fleet *f, int64_t now);
/** Free the state of observers that have been silent for a long time. */
void peers_forget_observers (struct fleet *f, int64_t now);

/* fleet_owners.c */
/** @return the capacity of this VM for services, thousandths of a core;
 * smaller than the configured one if the event loop lags. */
int fleet_capacity (const struct fleet *f);
/** Find the ownership of a service, or add it.  The pointer is valid until the
 * next one is added.
 * @return NULL if there are too many services. */
struct ownership *ownership_find (struct fleet *f, uint64_t service);
/** Claim the service, or cancel the claim or release the service if @p wanted
 * is false. */
void ownership_claim (struct fleet *f, struct ownership *t, bool wanted,
                      int64_t now);
/** Claim the services that have no owner and that this member should own, and
 * cancel the claims that fail. */
void ownerships_update (struct fleet *f, int64_t now);
/** Move a service to a less loaded member if this one has too much load. */
void ownerships_rebalance (struct fleet *f, int64_t now);

/* fleet_voters.c */
/** If this member is the one that maintains the list of voters, begin the
 * change that is due, or end the one in progress. */
void fleet_change_voters (struct fleet *f, int64_t now);

#endif
