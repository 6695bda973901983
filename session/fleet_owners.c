#include "common/sorted.h"
#include "session/directory.h"
#include "session/fleet_private.h"
#include "session/owner.h"

/* A claim that has no majority after this time is cancelled and repeated after
   a random pause, so that two claims do not block each other. */
#define CLAIM_TIMEOUT_US (300 * USEC_PER_MSEC)
/* For this time after a member is ready, one member assigns the services that
   have no owner, as members of a fleet that starts have different views of
   who is ready. */
#define ASSIGN_US (1500 * USEC_PER_MSEC)
/* For this time after a member is ready, it leaves services to voters that are
   not ready yet: long enough for a heartbeat and a copy of the
   configuration. */
#define OTHERS_READY_US (250 * USEC_PER_MSEC)
/* A member moves a service to balance the load only if the services that it
   owns have not changed for this time. */
#define REBALANCE_PAUSE_US (2 * USEC_PER_SEC)
/* The same pause while the event loop lags: it is shorter, as callers are
   already waiting. */
#define LAGGING_REBALANCE_PAUSE_US (500 * USEC_PER_MSEC)

/* @return the capacity of the VM, thousandths of a core. */
static int
vm_capacity (const struct fleet *f)
{
  return (int)(f->sessiond->options->capacity * 1000);
}

int
fleet_capacity (const struct fleet *f)
{
  return placement_effective_capacity (&f->lag, vm_capacity (f));
}

struct ownership *
ownership_find (struct fleet *f, uint64_t service)
{
  int place = sorted_lower_bound (f->ownerships, f->ownership_count,
                                  sizeof f->ownerships[0], service);
  if (place < f->ownership_count && f->ownerships[place].service == service)
    return &f->ownerships[place];
  if (f->ownership_count == LEASE_MAX_SERVICES)
    return NULL;
  f->ownerships = talloc_realloc (f, f->ownerships, struct ownership,
                                  (size_t)f->ownership_count + 1);
  struct ownership *t = &f->ownerships[place];
  memmove (t + 1, t, sizeof *t * (size_t)(f->ownership_count - place));
  f->ownership_count++;
  *t = (struct ownership){ .service = service, .unowned_since = clock_now () };
  return t;
}

/* Update which services need an owner: those that are configured and have
   endpoints.  A service that loses its endpoints keeps its owner. */
static void
update_served_services (struct fleet *f)
{
  const struct config *config = f->sessiond->config;
  int count, ignored = 0;
  const struct endpoint_entry *entries
      = directory_endpoints (f->sessiond->directory, &count);
  f->services_listed = true;
  for (int i = 0; i < f->ownership_count; i++)
    {
      f->ownerships[i].is_served = false;
      f->ownerships[i].primary_domain = NULL;
    }
  for (int i = 0; i < count; i++)
    {
      const struct service_config *service
          = config_find_service (config, entries[i].service);
      struct ownership *t
          = service != NULL ? ownership_find (f, service->id) : NULL;
      ignored += service != NULL && t == NULL;
      if (t == NULL)
        continue;
      t->is_served = true;
      if (entries[i].is_primary)
        t->primary_domain = entries[i].failure_domain.start;
    }
  if (ignored > 0)
    log_error (PART,
               "event=endpoints_ignored count=%d reason=\"more than %d "
               "services\"",
               ignored, LEASE_MAX_SERVICES);
}

void
fleet_services_changed (struct fleet *f)
{
  f->services_listed = false;
}

/* @return whether this member is able to own services now. */
static bool
may_own (const struct fleet *f, int64_t now)
{
  return lease_may_own (f->leases) && fleet_is_ready (f)
         && lease_has_quorum (f->leases, now);
}

/* @return whether voters that are not ready yet count as candidates.
   Otherwise, the first member that is ready in a starting fleet would own all
   services. */
static bool
accepts_unready_voters (const struct fleet *f, int64_t now)
{
  return f->ready_since != 0 && now - f->ready_since < OTHERS_READY_US;
}

/* List the voters that may own services.
   @param self index of this member in the list; -1: it may not own any.
   @return their number. */
static int
list_candidates (const struct fleet *f, struct placement_daemon *out,
                 int *self, int64_t now)
{
  bool starting = accepts_unready_voters (f, now);
  int count = 0;
  *self = -1;
  if (may_own (f, now))
    {
      *self = count;
      out[count++] = (struct placement_daemon){
        f->sessiond->self, f->sessiond->options->failure_domain,
        fleet_capacity (f), lease_claim_count (f->leases)
      };
    }
  for (const struct peer *p = f->peers; p != NULL && count < LEASE_MAX_VOTERS;
       p = p->next)
    if (peer_is_alive (p, now) && p->is_voter && !p->leaving
        && (p->ready || starting))
      out[count++] = (struct placement_daemon){ p->id, p->failure_domain,
                                                p->capacity, p->claim_count };
  return count;
}

void
ownership_claim (struct fleet *f, struct ownership *t, bool wanted,
                 int64_t now)
{
  t->claimed_at = wanted ? now : 0;
  lease_claim (f->leases, t->service, wanted, now);
  fleet_schedule_heartbeats (f);
}

static void
log_owner (struct fleet *f, struct ownership *t, uint64_t owner)
{
  if (owner == t->logged_owner)
    return;
  const struct peer *p = peer_find (f, owner);
  t->logged_owner = owner;
  log_info (PART, "event=owner service=%" PRIx64 " owner=%s", t->service,
            owner == 0                   ? "none"
            : owner == f->sessiond->self ? f->sessiond->options->name
            : p != NULL                  ? LOG_TEXT (bstr_from (p->name))
                                         : "unknown");
}

static struct placement_service
describe_service (const struct ownership *t)
{
  return (struct placement_service){ t->service, t->primary_domain,
                                     model_rank };
}

/* @return whether another member also claims the service and ranks before this
   one.  Two lasting claims would split the votes. */
static bool
has_better_claimant (const struct fleet *f, const struct ownership *t,
                     const struct placement_daemon *daemons, int count,
                     int64_t now)
{
  struct placement_daemon claimants[LEASE_MAX_VOTERS];
  struct placement_service s = describe_service (t);
  int found = 0;
  for (int i = 0; i < count; i++)
    if (daemons[i].id == f->sessiond->self
        || lease_is_claimant (f->leases, daemons[i].id, t->service, now))
      {
        claimants[found] = daemons[i];
        /* The owned count already includes the claimed service. */
        if (claimants[found].owned > 0)
          claimants[found].owned--;
        found++;
      }
  int best = placement_choose_owner (claimants, found, &s);
  return best >= 0 && claimants[best].id != f->sessiond->self;
}

/* @return the member that assigns services: the one with the smallest id that
   is able to own some; 0: members claim services themselves. */
static uint64_t
find_assigner (const struct fleet *f, int64_t now)
{
  uint64_t best = may_own (f, now) ? f->sessiond->self : 0;
  if (f->ready_since == 0 || now - f->ready_since >= ASSIGN_US)
    return 0;
  for (const struct peer *p = f->peers; p != NULL; p = p->next)
    if (peer_is_alive (p, now) && p->is_voter && p->ready && !p->leaving
        && (best == 0 || p->id < best))
      best = p->id;
  return best;
}

/* Name a member as the next owner of a service in the next heartbeats. */
static void
assign_service (struct fleet *f, struct ownership *t, uint64_t member,
                int64_t now)
{
  t->release_to = t->successor = member;
  t->release_until = t->successor_until = now + SUCCESSOR_CLAIM_US;
  fleet_schedule_heartbeats (f);
}

/* Cancel a claim that fails, or claim or assign a service that has no
   owner. */
static void
update_ownership (struct fleet *f, struct ownership *t,
                  struct placement_daemon *daemons, int count,
                  uint64_t assigner, int64_t now)
{
  uint64_t owner = lease_owner (f->leases, t->service, now);
  log_owner (f, t, owner);
  if (t->claimed_at != 0)
    {
      if (lease_valid_until (f->leases, t->service) > now)
        t->claimed_at = now;
      else if (now - t->claimed_at > CLAIM_TIMEOUT_US
               || has_better_claimant (f, t, daemons, count, now))
        {
          ownership_claim (f, t, false, now);
          t->pause_until = now + sessiond_random ((uint32_t)CLAIM_TIMEOUT_US);
        }
      return;
    }
  if (owner != 0)
    {
      t->unowned_since = 0;
      return;
    }
  if (t->unowned_since == 0)
    t->unowned_since = now;
  if (!t->is_served)
    return;
  bool has_successor = now < t->successor_until && t->successor != 0;
  int64_t granting_since = lease_granting_since (f->leases);
  int64_t claimable_since
      = t->unowned_since > granting_since ? t->unowned_since : granting_since;
  struct placement_service service = describe_service (t);
  struct placement_view view = { f->sessiond->self, assigner, daemons, count };
  int best = -1;
  enum placement_action action
      = t->successor == f->sessiond->self ? PLACEMENT_CLAIM : PLACEMENT_WAIT;
  if (!has_successor)
    action = placement_decide (&view, &service, now - claimable_since, &best);
  /* The choices for the services that follow count this one as placed. */
  if (best >= 0)
    daemons[best].owned++;
  if (!may_own (f, now) || now < t->pause_until)
    return;
  if (action == PLACEMENT_CLAIM)
    ownership_claim (f, t, true, now);
  else if (action == PLACEMENT_ASSIGN)
    assign_service (f, t, daemons[best].id, now);
}

void
ownerships_update (struct fleet *f, int64_t now)
{
  struct placement_daemon daemons[LEASE_MAX_VOTERS];
  int self;
  if (f->sessiond->config == NULL)
    return;
  if (!f->services_listed)
    update_served_services (f);
  /* All members go through the services in the same order, so that they
     arrive at the same distribution. */
  int count = list_candidates (f, daemons, &self, now);
  uint64_t assigner = find_assigner (f, now);
  for (int i = 0; i < f->ownership_count; i++)
    update_ownership (f, &f->ownerships[i], daemons, count, assigner, now);
}

void
ownerships_rebalance (struct fleet *f, int64_t now)
{
  struct placement_daemon daemons[LEASE_MAX_VOTERS];
  int self;
  int claim_count = lease_claim_count (f->leases);
  uint64_t owned_digest = lease_owned_digest (f->leases, now);
  if (owned_digest != f->owned_digest)
    {
      f->owned_digest = owned_digest;
      f->owned_since = now;
    }
  int capacity = vm_capacity (f);
  bool is_lagging = fleet_capacity (f) < capacity;
  if (claim_count == 0
      || now - f->owned_since
             < (is_lagging ? LAGGING_REBALANCE_PAUSE_US : REBALANCE_PAUSE_US))
    return;
  int count = list_candidates (f, daemons, &self, now);
  int target = self >= 0
                   ? placement_choose_rebalance_target (daemons, count, self)
                   : -1;
  /* Members with too much load must not all move a service at the same
     moment. */
  if (target < 0 || (!is_lagging && sessiond_random (2) == 0))
    return;
  log_info (PART,
            "event=relief owned=%d capacity=%d of=%d lag_us=%" PRId64
            " target_owned=%d target_capacity=%d",
            claim_count, fleet_capacity (f), capacity, f->lag.lag_us,
            daemons[target].owned, daemons[target].capacity);
  owner_rebalance_one (f->sessiond->owner, daemons[target].id);
  f->owned_since = now;
}
