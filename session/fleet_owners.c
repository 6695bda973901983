#include "common/sorted.h"
#include "session/directory.h"
#include "session/fleet_private.h"
#include "session/owner.h"

/* A claim without a majority is withdrawn after this and repeated after a
   pause, so that two claims do not block each other. */
#define CLAIM_US (300 * USEC_PER_MSEC)
/* Only the best candidate claims a service at first, the others later. */
#define OTHERS_CLAIM_US (400 * USEC_PER_MSEC)
/* Time from a daemon's readiness in which it leaves services to voters that
   are not ready yet: a heartbeat, and a copy of the configuration. */
#define OTHERS_READY_US (250 * USEC_PER_MSEC)
/* A service is moved to balance load only if this daemon owns the same ones
   for this time. */
#define RELIEF_PAUSE_US (2 * USEC_PER_SEC)
/* The same while the loop is late: the callers wait already. */
#define SLOW_PAUSE_US (500 * USEC_PER_MSEC)

/* Of the VM, thousandths of a core. */
static int
full_capacity (const struct fleet *f)
{
  return (int)(f->relay->options->capacity * 1000);
}

int
fleet_capacity (const struct fleet *f)
{
  return placement_effective_capacity (&f->lag, full_capacity (f));
}

struct tenure *
tenure_find (struct fleet *f, uint64_t service)
{
  int place = sorted_place (f->tenures, f->tenure_count, sizeof f->tenures[0],
                            service);
  if (place < f->tenure_count && f->tenures[place].service == service)
    return &f->tenures[place];
  if (f->tenure_count == LEASE_MAX_SERVICES)
    return NULL;
  f->tenures = talloc_realloc (f, f->tenures, struct tenure,
                               (size_t)f->tenure_count + 1);
  struct tenure *t = &f->tenures[place];
  memmove (t + 1, t, sizeof *t * (size_t)(f->tenure_count - place));
  f->tenure_count++;
  *t = (struct tenure){ .service = service, .unowned_since = clock_now () };
  return t;
}

/* A service without endpoints needs no owner; one that has an owner keeps it
   when its endpoints go. */
static void
list_services (struct fleet *f)
{
  const struct config *config = f->relay->config;
  int count, ignored = 0;
  const struct endpoint_entry *entries
      = directory_endpoints (f->relay->directory, &count);
  f->services_listed = true;
  for (int i = 0; i < f->tenure_count; i++)
    {
      f->tenures[i].is_served = false;
      f->tenures[i].primary_domain = NULL;
    }
  for (int i = 0; i < count; i++)
    {
      const struct service_config *service
          = config_find_service (config, entries[i].service);
      struct tenure *t = service != NULL ? tenure_find (f, service->id) : NULL;
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

static bool
may_own (const struct fleet *f, int64_t now)
{
  return lease_is_voter (f->leases) && fleet_is_ready (f)
         && lease_has_quorum (f->leases, now);
}

/* In a fleet that starts, the first daemon that is ready would own all
   services.  Others that are about to be ready count too for a while. */
static bool
others_are_starting (const struct fleet *f, int64_t now)
{
  return f->ready_since != 0 && now - f->ready_since < OTHERS_READY_US;
}

/* The voters that may own services.
   @param self where this daemon is among them, -1: it may not. */
static int
list_daemons (const struct fleet *f, struct placement_daemon *out, int *self,
              int64_t now)
{
  bool starting = others_are_starting (f, now);
  int count = 0;
  *self = -1;
  if (may_own (f, now))
    {
      *self = count;
      out[count++] = (struct placement_daemon){
        f->relay->self, f->relay->options->failure_domain, fleet_capacity (f),
        lease_claim_count (f->leases)
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
tenure_claim (struct fleet *f, struct tenure *t, bool wanted, int64_t now)
{
  t->claimed_at = wanted ? now : 0;
  lease_claim (f->leases, t->service, wanted, now);
  fleet_tell_soon (f);
}

static void
log_owner (struct fleet *f, struct tenure *t, uint64_t owner)
{
  if (owner == t->logged_owner)
    return;
  const struct peer *p = peer_find (f, owner);
  t->logged_owner = owner;
  log_info (PART, "event=owner service=%" PRIx64 " owner=%s", t->service,
            owner == 0                ? "none"
            : owner == f->relay->self ? f->relay->options->name
            : p != NULL               ? p->name
                                      : "unknown");
}

static struct placement_service
describe_service (const struct tenure *t)
{
  return (struct placement_service){ t->service, t->primary_domain,
                                     model_rank };
}

/* @return whether another daemon that claims the service too comes first; two
   claims that last take votes from each other. */
static bool
has_better_rival (const struct fleet *f, const struct tenure *t,
                  const struct placement_daemon *daemons, int count,
                  int64_t now)
{
  struct placement_daemon claimants[LEASE_MAX_VOTERS];
  struct placement_service s = describe_service (t);
  int found = 0;
  for (int i = 0; i < count; i++)
    if (daemons[i].id == f->relay->self
        || lease_is_claimant (f->leases, daemons[i].id, t->service, now))
      {
        claimants[found] = daemons[i];
        /* What is claimed is counted already. */
        if (claimants[found].owned > 0)
          claimants[found].owned--;
        found++;
      }
  int best = placement_choose_owner (claimants, found, &s);
  return best >= 0 && claimants[best].id != f->relay->self;
}

static void
update_tenure (struct fleet *f, struct tenure *t,
               struct placement_daemon *daemons, int count, int64_t now)
{
  uint64_t owner = lease_owner (f->leases, t->service, now);
  log_owner (f, t, owner);
  if (t->claimed_at != 0)
    {
      if (lease_valid_until (f->leases, t->service) > now)
        t->claimed_at = now;
      else if (now - t->claimed_at > CLAIM_US
               || has_better_rival (f, t, daemons, count, now))
        {
          tenure_claim (f, t, false, now);
          t->pause_until = now + relay_random ((uint32_t)CLAIM_US);
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
  bool named = now < t->successor_until && t->successor != 0;
  int64_t granted_since = lease_granting_since (f->leases);
  int64_t free_since
      = t->unowned_since > granted_since ? t->unowned_since : granted_since;
  struct placement_service service = describe_service (t);
  int best = named ? -1 : placement_choose_owner (daemons, count, &service);
  bool self = named ? t->successor == f->relay->self
                    : best >= 0
                          && (daemons[best].id == f->relay->self
                              || now - free_since > OTHERS_CLAIM_US);
  if (best >= 0)
    daemons[best].owned++;
  if (self && may_own (f, now) && now >= t->pause_until)
    tenure_claim (f, t, true, now);
}

void
tenures_update (struct fleet *f, int64_t now)
{
  struct placement_daemon daemons[LEASE_MAX_VOTERS];
  int self;
  if (f->relay->config == NULL)
    return;
  if (!f->services_listed)
    list_services (f);
  /* All daemons go through the services in the same order, so that they
     come to the same distribution. */
  int count = list_daemons (f, daemons, &self, now);
  for (int i = 0; i < f->tenure_count; i++)
    update_tenure (f, &f->tenures[i], daemons, count, now);
}

/* Give a service to a daemon that has less to do. */
void
tenures_relieve (struct fleet *f, int64_t now)
{
  struct placement_daemon daemons[LEASE_MAX_VOTERS];
  int self;
  int claim_count = lease_claim_count (f->leases);
  uint64_t held = lease_owned_digest (f->leases, now);
  if (held != f->held)
    {
      f->held = held;
      f->held_since = now;
    }
  int capacity = full_capacity (f);
  bool is_slow = fleet_capacity (f) < capacity;
  if (claim_count == 0
      || now - f->held_since < (is_slow ? SLOW_PAUSE_US : RELIEF_PAUSE_US))
    return;
  int count = list_daemons (f, daemons, &self, now);
  int target = self >= 0
                   ? placement_choose_rebalance_target (daemons, count, self)
                   : -1;
  /* Not all of those with too much move at the same moment. */
  if (target < 0 || (!is_slow && relay_random (2) == 0))
    return;
  log_info (PART,
            "event=relief owned=%d capacity=%d of=%d lag_us=%" PRId64
            " target_owned=%d target_capacity=%d",
            claim_count, fleet_capacity (f), capacity, f->lag.lag_us,
            daemons[target].owned, daemons[target].capacity);
  owner_give_one (f->relay->owner, daemons[target].id);
  f->held_since = now;
}
