#include "core/evacuation.h"

#include <talloc.h>

/* A caller is never told to repeat a request sooner than this. */
#define MIN_RETRY_MS 50
#define USEC_PER_MSEC 1000

/** The evacuated failure domains. */
struct evacuation
{
  struct evacuation_options options;
  struct evacuation_domain *domains;
  int count;
  bool is_known;
};

struct evacuation *
evacuation_create (void *parent, const struct evacuation_options *o)
{
  struct evacuation *v = talloc_zero (parent, struct evacuation);
  v->options = *o;
  return v;
}

void
evacuation_set_known (struct evacuation *v, bool is_known)
{
  v->is_known = is_known;
}

bool
evacuation_is_known (const struct evacuation *v)
{
  return v->is_known;
}

const struct evacuation_domain *
evacuation_domains (const struct evacuation *v, int *count)
{
  *count = v->count;
  return v->domains;
}

static struct evacuation_domain *
find (const struct evacuation *v, struct bstr name)
{
  for (int i = 0; i < v->count; i++)
    if (bstr_equals_text (name, v->domains[i].name))
      return &v->domains[i];
  return NULL;
}

const struct evacuation_domain *
evacuation_find (const struct evacuation *v, struct bstr name)
{
  return find (v, name);
}

static bool
contains (const struct bstr *names, int count, const char *name)
{
  for (int i = 0; i < count; i++)
    if (bstr_equals_text (names[i], name))
      return true;
  return false;
}

static void
remove_domain (struct evacuation *v, int i)
{
  talloc_free (v->domains[i].name);
  v->domains[i] = v->domains[--v->count];
}

/* Remove the domains that a list lacks.
   @return whether there was one. */
static bool
remove_absent (struct evacuation *v, const struct bstr *names, int count,
               bool is_restored, int64_t now)
{
  bool removed = false;
  for (int i = v->count - 1; i >= 0; i--)
    {
      struct evacuation_domain *d = &v->domains[i];
      if (contains (names, count, d->name))
        {
          d->kept_until = 0;
          continue;
        }
      if (is_restored && d->kept_until == 0)
        d->kept_until = now + v->options.restore_us;
      if (d->kept_until > now)
        continue;
      remove_domain (v, i);
      removed = true;
    }
  return removed;
}

bool
evacuation_set_domains (struct evacuation *v, const struct bstr *names,
                        int count, struct evacuation_source source,
                        int64_t now)
{
  bool changed = remove_absent (v, names, count, source.is_restored, now);
  v->is_known = true;
  for (int i = 0; i < count; i++)
    {
      if (names[i].len == 0 || find (v, names[i]) != NULL)
        continue;
      v->domains = talloc_realloc (v, v->domains, struct evacuation_domain,
                                   (size_t)v->count + 1);
      v->domains[v->count++] = (struct evacuation_domain){
        .name = bstr_to_text (v, names[i]),
        .since = now,
        .closed_at = now + (source.may_be_old ? 0 : v->options.transaction_us),
      };
      changed = true;
    }
  return changed;
}

bool
evacuation_expire (struct evacuation *v, int64_t now)
{
  bool removed = false;
  for (int i = v->count - 1; i >= 0; i--)
    if (v->domains[i].kept_until != 0 && v->domains[i].kept_until <= now)
      {
        remove_domain (v, i);
        removed = true;
      }
  return removed;
}

enum evacuation_use
evacuation_use (const struct evacuation *v, const char *domain, int64_t now)
{
  if (!v->is_known)
    return EVACUATION_NONE;
  if (v->count == 0)
    return EVACUATION_ALL;
  const struct evacuation_domain *d = find (v, bstr_from (domain));
  if (d == NULL)
    return EVACUATION_ALL;
  return now < d->closed_at ? EVACUATION_TRANSACTION : EVACUATION_NONE;
}

enum evacuation_move
evacuation_decide_move (const struct evacuation *v,
                        const struct evacuation_service *s, int64_t now)
{
  bool must_move = false, has_candidate = false;
  for (int i = 0; i < s->count; i++)
    {
      const struct evacuation_endpoint *e = &s->endpoints[i];
      bool is_free = evacuation_use (v, e->domain, now) == EVACUATION_ALL;
      must_move |= e->is_primary && !is_free;
      has_candidate |= !e->is_primary && is_free && e->may_lead;
    }
  if (!must_move)
    return EVACUATION_STAY;
  return has_candidate ? EVACUATION_GO : EVACUATION_BLOCKED;
}

/* @return whether the service has an endpoint in an evacuated domain. */
static bool
is_affected (const struct evacuation *v, const struct evacuation_service *s,
             int64_t now)
{
  for (int i = 0; v->count > 0 && i < s->count; i++)
    if (evacuation_use (v, s->endpoints[i].domain, now) != EVACUATION_ALL)
      return true;
  return false;
}

/* @return whether an endpoint outside of the evacuated domains could run a
   read, or a write now or as the next primary. */
static bool
has_other_endpoint (const struct evacuation *v,
                    const struct evacuation_service *s, bool needs_primary,
                    int64_t now)
{
  for (int i = 0; i < s->count; i++)
    {
      const struct evacuation_endpoint *e = &s->endpoints[i];
      bool could_run
          = needs_primary && !e->is_primary ? e->may_lead : e->answers;
      if (could_run && evacuation_use (v, e->domain, now) == EVACUATION_ALL)
        return true;
    }
  return false;
}

int
evacuation_refusal_ms (const struct evacuation *v,
                       const struct evacuation_service *s, bool needs_primary,
                       int64_t now)
{
  if (!is_affected (v, s, now))
    return 0;
  bool is_stuck = needs_primary && s->has_failed
                  && evacuation_decide_move (v, s, now) != EVACUATION_STAY;
  if (!is_stuck && has_other_endpoint (v, s, needs_primary, now))
    return 0;
  int64_t ms = (s->next_check_at - now) / USEC_PER_MSEC;
  return ms > MIN_RETRY_MS ? (int)ms : MIN_RETRY_MS;
}

bool
evacuation_judge (struct evacuation *v, const char *domain,
                  const struct evacuation_remains *remains, int64_t now)
{
  struct evacuation_domain *d = find (v, bstr_from (domain));
  if (d == NULL)
    return false;
  enum evacuation_state before = d->state;
  d->remains = *remains;
  if (remains->transactions == 0 && remains->statements == 0
      && remains->primaries == 0)
    d->state = EVACUATION_COMPLETE;
  else if (now - d->since > v->options.bound_us)
    d->state = EVACUATION_LATE;
  else
    d->state = EVACUATION_MOVING;
  return d->state != before;
}

const char *
evacuation_state_name (enum evacuation_state state)
{
  static const char *const names[EVACUATION_STATE_COUNT]
      = { "moving", "complete", "late" };
  return names[state];
}
