/** @file
 * Shared by the files that make the fleet; not for others.
 *
 * fleet.c          heartbeats, messages, and the interface
 * fleet_peers.c    connections to the other daemons and their liveness
 * fleet_owners.c   which daemon claims which service
 * fleet_voters.c   which daemons are voters
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

/* Length of a lease on a service.  A failed owner is replaced after it; it
   leaves room for four lost heartbeats. */
#define LEASE_US (1000 * USEC_PER_MSEC)
#define HEARTBEAT_US (200 * USEC_PER_MSEC)
#define TICK_US (50 * USEC_PER_MSEC)
/* Between a voter and an observer heartbeats are rarer, and silence is
   tolerated longer, by this factor. */
#define OBSERVER_FACTOR 2
/* A named successor is the only one to claim for this time. */
#define SUCCESSOR_US (400 * USEC_PER_MSEC)
/* A voter that a majority has not heard for this time is removed. */
#define REMOVE_US (7 * USEC_PER_SEC)
/* An observer that was silent for this time is forgotten.  Until then it gets
   a few heartbeats, so that it finds the voters without the store. */
#define FORGET_US (60 * USEC_PER_SEC)
/* A heartbeat that another daemon has not confirmed after this time was
   lost with its connection. */
#define CONFIRM_US (100 * USEC_PER_MSEC)

/** A message that the receiver has not confirmed. */
struct unconfirmed
{
  struct unconfirmed *next;
  int64_t stamp;
  struct bstr bytes;
};

struct peer
{
  struct peer *next;
  struct fleet *fleet;
  uint64_t id;
  char *name;
  char *address;
  char *failure_domain;
  bool is_voter;
  bool wants_vote;
  bool knows_us; /**< It has confirmed a heartbeat of this process. */
  int capacity;  /**< Thousandths of a core. */
  bool leaving;
  bool ready;
  uint64_t incarnation;
  int64_t heard;       /**< 0: never. */
  int64_t clock_delta; /**< Smallest own clock less stamp seen. */
  int claim_count;
  bool reaches_store;
  bool ended;           /**< Its process is known to have ended. */
  struct stream *check; /**< Shows whether anybody listens. */
  int64_t last_check;
  /* Messages to it. */
  uint64_t next_number;
  struct unconfirmed *unconfirmed;
  struct unconfirmed **unconfirmed_end;
  int64_t last_heartbeat;
  int64_t previous_heartbeat;
  int64_t last_reset;
  int64_t last_reset_logged;
  /* Messages from it. */
  uint64_t last_number;
};

/** What this daemon knows of a service's ownership. */
struct tenure
{
  uint64_t service; /**< First, as the tenures are searched by it. */
  bool is_served;   /**< In the configuration, and has endpoints. */
  /** Of the primary, as its entry says; NULL: not known.  Owned by the
   * directory, valid while the services are listed. */
  const char *primary_domain;
  int64_t unowned_since; /**< 0: it has an owner. */
  int64_t claimed_at;    /**< 0: not claimed by this daemon. */
  int64_t pause_until;   /**< No claim before. */
  uint64_t successor;
  int64_t successor_until;
  uint64_t release_to; /**< Successor to tell in heartbeats. */
  int64_t release_until;
  uint64_t logged_owner;
};

struct fleet
{
  struct relay *relay;
  struct bus *bus;
  struct lease_table *leases;
  struct peer *peers;
  struct tenure *tenures; /**< Sorted by service. */
  int tenure_count;
  bool services_listed; /**< The tenures know the newest configuration and
                             endpoints. */
  int64_t last_round;   /**< Of heartbeats. */
  int64_t started;
  int64_t ready_since; /**< 0: not ready. */
  uint64_t held;       /**< Digest of the services owned. */
  int64_t held_since;
  struct placement_lag lag;
  bool urgent;        /**< Send heartbeats at the next turn of the loop. */
  uint64_t told_held; /**< Digest of the services told to observers. */
  struct tevent_immediate *soon;
};

/* fleet.c */
/** @return whether this daemon has what it needs to own a service. */
bool fleet_is_ready (const struct fleet *f);

/* fleet_peers.c */
struct peer *peer_find (const struct fleet *f, uint64_t id);
/** Find or add. */
struct peer *peer_add (struct fleet *f, uint64_t id);
void peer_set_text (struct peer *p, char **text, struct bstr value);
/** @return how much slower than between two voters everything goes. */
int peer_slowness (const struct peer *p);
/** @return whether it was heard lately. */
bool peer_is_alive (const struct peer *p, int64_t now);
/** @return false if its address is not known. */
bool peer_send (struct fleet *f, struct peer *p, struct packet *message);
/** It has a heartbeat of this daemon with this stamp. */
void peer_confirm (struct peer *p, int64_t echo);
void peer_drop_unconfirmed (struct peer *p);
/** Open the connection to it anew, and send again what it may lack. */
void peer_reset_connection (struct peer *p, int64_t now, const char *reason);
/** Find daemons that are silent or have ended. */
void peers_watch (struct fleet *f, int64_t now);
/** Forget observers that were silent for long. */
void peers_forget (struct fleet *f, int64_t now);

/* fleet_owners.c */
/** @return thousandths of a core that are left for services. */
int fleet_capacity (const struct fleet *f);
/** Find or add; valid until the next one is added.
 * @return NULL if there are too many. */
struct tenure *tenure_find (struct fleet *f, uint64_t service);
/** Claim the service or withdraw the claim. */
void tenure_claim (struct fleet *f, struct tenure *t, bool wanted,
                   int64_t now);
/** Claim what has no owner and should be owned here. */
void tenures_update (struct fleet *f, int64_t now);
/** Give a service to a daemon that has less to do. */
void tenures_relieve (struct fleet *f, int64_t now);

/* fleet_voters.c */
/** Let the voter that leads the others change the list by one step. */
void fleet_change_voters (struct fleet *f, int64_t now);

#endif
