#include "session/evacuation.h"

#include "common/log.h"
#include "session/directory.h"
#include "session/owner.h"
#include "session/service.h"

#include <inttypes.h>
#include <stdio.h>

/* Period of the check how far the evacuations are. */
#define JUDGE_PERIOD_US (200 * USEC_PER_MSEC)
/* Transactions may continue for this part of the bound, as a divisor.  What is
   left after this and the longest time until a daemon learns of an evacuation
   is for the event loop and the network. */
#define TRANSACTION_DIVISOR 5
/* Time for which an evacuation stays in force that a restore of the store has
   lost: the platform writes it again sooner. */
#define RESTORE_US (10 * USEC_PER_SEC)
/* A daemon that starts waits this long for the list while the store cannot be
   reached. */
#define UNKNOWN_LIST_US (2 * USEC_PER_SEC)
/* Pause between two checks of a primary that nothing can replace. */
#define CHECK_PERIOD_US (1000 * USEC_PER_MSEC)
/* Most bytes of a domain's name in a label. */
#define MAX_LABEL_BYTES 100

/** The evacuations as this daemon applies them. */
struct evacuations
{
  struct sessiond *sessiond;
  struct evacuation *domains;
};

static int
count_endpoints (const struct evacuations *v, const char *domain)
{
  int count, found = 0;
  const struct endpoint_entry *entries
      = directory_endpoints (v->sessiond->directory, &count);
  for (int i = 0; i < count; i++)
    found += bstr_equals_text (entries[i].failure_domain, domain);
  return found;
}

/* Set the metric of a domain: 1 for its state, 0 for the others.  A name that
   is no endpoint's domain has none, as objects may have any number of names.
   @param state EVACUATION_STATE_COUNT: it is not evacuated. */
static void
set_metric (struct evacuations *v, const char *domain,
            enum evacuation_state state)
{
  char name[MAX_LABEL_BYTES + 1], labels[MAX_LABEL_BYTES + 40];
  size_t n = 0;
  if (count_endpoints (v, domain) == 0)
    return;
  /* Any text may name an object, but not a label. */
  for (; n < MAX_LABEL_BYTES && domain[n] != '\0'; n++)
    name[n] = (char)(strchr ("\"\\", domain[n]) != NULL
                             || (unsigned char)domain[n] < ' '
                         ? '_'
                         : domain[n]);
  name[n] = '\0';
  for (int i = 0; i < EVACUATION_STATE_COUNT; i++)
    {
      snprintf (labels, sizeof labels, "domain=\"%s\",state=\"%s\"", name,
                evacuation_state_name ((enum evacuation_state)i));
      *stats_counter (v->sessiond->stats, "azurewind_evacuation", labels)
          = i == (int)state;
    }
}

/* Count the primaries in a domain as their entries say, if another domain that
   is not evacuated has a database of the service and no primary. */
static int
count_primaries (const struct evacuations *v, const char *domain)
{
  int count, found = 0;
  const struct endpoint_entry *entries
      = directory_endpoints (v->sessiond->directory, &count);
  for (int i = 0; i < count; i++)
    {
      bool has_other = false, has_primary = false;
      if (!entries[i].is_primary
          || !bstr_equals_text (entries[i].failure_domain, domain))
        continue;
      for (int k = 0; k < count; k++)
        if (bstr_equals (entries[k].service, entries[i].service)
            && evacuation_find (v->domains, entries[k].failure_domain) == NULL)
          {
            has_other = true;
            has_primary |= entries[k].is_primary;
          }
      found += has_other && !has_primary;
    }
  return found;
}

/* Log the evacuations that were in force and are not any more.
   @param before the names of those that were in force. */
static void
report_ended (struct evacuations *v, char *const *before, int count)
{
  for (int i = 0; i < count; i++)
    if (evacuation_find (v->domains, bstr_from (before[i])) == NULL)
      {
        log_info (PART, "event=evacuation_ended domain=\"%s\"",
                  LOG_TEXT (bstr_from (before[i])));
        set_metric (v, before[i], EVACUATION_STATE_COUNT);
      }
}

/* @return the names of the domains that are evacuated. */
static char **
copy_names (struct evacuations *v, int *count)
{
  const struct evacuation_domain *d = evacuation_domains (v->domains, count);
  char **names = talloc_array (v, char *, (size_t)*count + 1);
  for (int i = 0; i < *count; i++)
    names[i] = talloc_strdup (names, d[i].name);
  return names;
}

void
evacuations_apply (struct evacuations *v, const struct bstr *names, int count,
                   struct evacuation_source source)
{
  int64_t now = clock_now ();
  int before_count, new_count;
  char **before = copy_names (v, &before_count);
  evacuation_set_domains (v->domains, names, count, source, now);
  report_ended (v, before, before_count);
  const struct evacuation_domain *d
      = evacuation_domains (v->domains, &new_count);
  for (int i = 0; i < new_count; i++)
    {
      int k = 0;
      while (k < before_count && strcmp (before[k], d[i].name) != 0)
        k++;
      if (k < before_count)
        continue;
      log_warn (PART, "event=evacuation domain=\"%s\" endpoints=%d late=%d",
                LOG_TEXT (bstr_from (d[i].name)),
                count_endpoints (v, d[i].name), source.may_be_old);
    }
  talloc_free (before);
}

/* Judge how far each evacuation is. */
static void
on_judge (void *data)
{
  struct evacuations *v = data;
  int64_t now = clock_now ();
  int count;
  char **before = copy_names (v, &count);
  if (evacuation_expire (v->domains, now))
    report_ended (v, before, count);
  talloc_free (before);
  const struct evacuation_domain *d = evacuation_domains (v->domains, &count);
  for (int i = 0; i < count; i++)
    {
      struct evacuation_remains remains
          = { .primaries = count_primaries (v, d[i].name) };
      owner_count_remains (v->sessiond->owner, d[i].name, &remains);
      bool has_changed
          = evacuation_judge (v->domains, d[i].name, &remains, now);
      set_metric (v, d[i].name, d[i].state);
      if (!has_changed)
        continue;
      if (d[i].state == EVACUATION_LATE)
        log_error (PART,
                   "event=evacuation_late domain=\"%s\" since_ms=%" PRId64
                   " transactions=%d statements=%d primaries=%d",
                   LOG_TEXT (bstr_from (d[i].name)),
                   (now - d[i].since) / USEC_PER_MSEC, remains.transactions,
                   remains.statements, remains.primaries);
      else if (d[i].state == EVACUATION_COMPLETE)
        log_info (PART,
                  "event=evacuation_complete domain=\"%s\" took_ms=%" PRId64,
                  LOG_TEXT (bstr_from (d[i].name)),
                  (now - d[i].since) / USEC_PER_MSEC);
    }
  /* The first list is not waited for any longer. */
  if (!evacuation_is_known (v->domains) && evacuations_are_known (v))
    {
      evacuation_set_known (v->domains, true);
      log_warn (PART, "event=evacuations_unknown reason=\"the store cannot be "
                      "reached\"");
    }
}

struct evacuations *
evacuations_create (struct sessiond *r)
{
  int64_t bound_us = r->options->evacuation_ms * USEC_PER_MSEC;
  if (bound_us == 0)
    return NULL;
  struct evacuations *v = talloc_zero (r, struct evacuations);
  v->sessiond = r;
  v->domains = evacuation_create (
      v, &(struct evacuation_options){ .bound_us = bound_us,
                                       .transaction_us
                                       = bound_us / TRANSACTION_DIVISOR,
                                       .restore_us = RESTORE_US });
  sessiond_call_every (r, v, JUDGE_PERIOD_US, on_judge, v);
  return v;
}

bool
evacuations_have (const struct evacuations *v, const char *domain)
{
  return v != NULL && evacuation_find (v->domains, bstr_from (domain)) != NULL;
}

bool
evacuations_are_known (const struct evacuations *v)
{
  if (v == NULL || evacuation_is_known (v->domains))
    return true;
  int64_t since
      = directory_failing_since (v->sessiond->directory, OBJECT_EVACUATIONS);
  return since != 0 && clock_now () - since >= UNKNOWN_LIST_US;
}

json_t *
evacuations_describe (const struct evacuations *v)
{
  json_t *list = json_array ();
  int count = 0;
  int64_t now = clock_now ();
  const struct evacuation_domain *d
      = v != NULL ? evacuation_domains (v->domains, &count) : NULL;
  for (int i = 0; i < count; i++)
    json_array_append_new (
        list,
        json_pack ("{s:s, s:s, s:I, s:i, s:i, s:i}", "domain", d[i].name,
                   "state", evacuation_state_name (d[i].state), "since_ms",
                   (json_int_t)((now - d[i].since) / USEC_PER_MSEC),
                   "transactions", d[i].remains.transactions, "statements",
                   d[i].remains.statements, "primaries",
                   d[i].remains.primaries));
  return list;
}

/* Services. */

static const struct evacuations *
evacuations_of (const struct service *s)
{
  return s->sessiond->evacuations;
}

enum evacuation_use
evacuation_use_of (const struct endpoint *e)
{
  const struct evacuations *v = evacuations_of (e->service);
  return v != NULL
             ? evacuation_use (v->domains, e->failure_domain, clock_now ())
             : EVACUATION_ALL;
}

/* @return when a request that cannot run for now is to be repeated: at the
   expected end of the promotion, or at the next check of the primary. */
static int64_t
next_check_at (const struct service *s, int64_t now)
{
  if (s->phase == SERVICE_HANDOFF)
    {
      int64_t end = s->promotion_decided_at + EXPECTED_PROMOTION_US;
      return end > now ? end : now + EXPECTED_PROMOTION_US / 4;
    }
  return s->next_check_at > now ? s->next_check_at : now + CHECK_PERIOD_US;
}

/* @return whether any domain is evacuated. */
static bool
has_domains (const struct evacuations *v)
{
  int count = 0;
  if (v != NULL)
    evacuation_domains (v->domains, &count);
  return count > 0;
}

/* @return whether a statement may run at an endpoint's log.  While replicas
   have not caught up, reads that need newer data only run at the primary. */
static bool
has_position (const struct endpoint *e, const struct packet_statement *m,
              int64_t now)
{
  const struct service *s = e->service;
  return m == NULL || !m->is_read || !s->has_move_failed || e == s->primary
         || position_compare (e->replica.position,
                              service_required_position (s, m, now))
                >= 0;
}

/* Describe a service for the decisions.
   @param m statement that is to run; NULL: any.
   @param endpoints array of SERVICE_MAX_ENDPOINTS. */
static struct evacuation_service
describe (const struct service *s, const struct packet_statement *m,
          struct evacuation_endpoint *endpoints, int64_t now)
{
  bool is_overdue
      = s->phase == SERVICE_HANDOFF
        && now - s->promotion_decided_at > 2 * EXPECTED_PROMOTION_US;
  struct evacuation_service view
      = { .endpoints = endpoints,
          .has_failed = s->has_move_failed || is_overdue,
          .next_check_at = next_check_at (s, now) };
  for (const struct endpoint *e = s->endpoints;
       e != NULL && view.count < SERVICE_MAX_ENDPOINTS; e = e->next)
    {
      bool answers
          = e->is_listed && !e->is_wrong_endpoint && e->failed_since == 0;
      endpoints[view.count++] = (struct evacuation_endpoint){
        .domain = e->failure_domain,
        .is_primary = e == s->primary,
        .answers = answers && has_position (e, m, now),
        .may_lead = answers && !e->draining,
      };
    }
  return view;
}

/* @return see evacuation_refusal_ms. */
static int
refusal_ms (const struct service *s, const struct packet_statement *m,
            int64_t now)
{
  struct evacuation_endpoint endpoints[SERVICE_MAX_ENDPOINTS];
  const struct evacuations *v = evacuations_of (s);
  if (!has_domains (v))
    return 0;
  struct evacuation_service view = describe (s, m, endpoints, now);
  return evacuation_refusal_ms (v->domains, &view, !m->is_read, now);
}

bool
evacuation_refuses (struct service *s, struct pending_statement *ps,
                    int64_t now)
{
  int ms = refusal_ms (s, ps->statement, now);
  if (ms > 0)
    service_refuse_with_transaction (ps, OUTCOME_BUSY,
                                     "the failure domain is evacuated", ms);
  return ms > 0;
}

int
evacuation_retry_ms (const struct service *s, int64_t now)
{
  const struct evacuations *v = evacuations_of (s);
  bool is_affected = false;
  for (const struct endpoint *e = s->endpoints; has_domains (v) && e != NULL;
       e = e->next)
    is_affected |= evacuation_use_of (e) != EVACUATION_ALL;
  return is_affected ? (int)((next_check_at (s, now) - now) / USEC_PER_MSEC)
                     : 0;
}

bool
evacuation_ends_transaction (struct transaction *t,
                             struct pending_statement *ps)
{
  if (evacuation_use_of (t->pooled_link->endpoint) != EVACUATION_NONE)
    return false;
  service_refuse (ps, OUTCOME_ABORTED, "the failure domain is evacuated", 0);
  service_abort_transaction (t);
  return true;
}

bool
evacuation_moves_primary (struct service *s, int64_t now)
{
  struct evacuation_endpoint endpoints[SERVICE_MAX_ENDPOINTS];
  const struct evacuations *v = evacuations_of (s);
  if (v == NULL)
    return false;
  if (evacuation_use_of (s->primary) == EVACUATION_ALL)
    {
      s->has_move_failed = s->is_move_blocked = false;
      return false;
    }
  if (now < s->next_check_at)
    return false;
  struct evacuation_service view = describe (s, NULL, endpoints, now);
  if (evacuation_decide_move (v->domains, &view, now) == EVACUATION_GO)
    {
      s->is_move_blocked = false;
      return true;
    }
  s->next_check_at = now + CHECK_PERIOD_US;
  if (!s->is_move_blocked)
    log_warn (PART,
              "event=evacuation_blocked service=%s endpoint=%s reason=\"no "
              "database elsewhere can lead\"",
              s->name, s->primary->id);
  s->is_move_blocked = true;
  return false;
}

void
evacuation_move_failed (struct service *s)
{
  if (s->primary == NULL || evacuation_use_of (s->primary) == EVACUATION_ALL)
    return;
  s->has_move_failed = true;
  s->next_check_at = clock_now () + CHECK_PERIOD_US;
  log_warn (PART,
            "event=evacuation_blocked service=%s endpoint=%s reason=\"the "
            "promotion was abandoned\"",
            s->name, s->primary->id);
}

bool
evacuation_has_ended (const struct service *s)
{
  return evacuations_of (s) != NULL && s->primary != NULL
         && !s->primary->draining
         && evacuation_use_of (s->primary) == EVACUATION_ALL;
}

/* @return whether a statement may still be on its way over a connection to the
   endpoint. */
static bool
has_work (const struct endpoint *e)
{
  for (const struct pooled_link *p = e->links; p != NULL; p = p->next)
    if (p->pending != NULL || p->transaction != NULL || p->is_counted)
      return true;
  return false;
}

/* Refuse the queued statements that cannot run for now. */
static void
refuse_queue (struct service *s, int64_t now)
{
  struct pending_statement **at = &s->queue;
  while (*at != NULL)
    {
      struct pending_statement *ps = *at;
      int ms = refusal_ms (s, ps->statement, now);
      if (ms == 0)
        {
          at = &ps->next;
          continue;
        }
      *at = ps->next;
      service_refuse_with_transaction (ps, OUTCOME_BUSY,
                                       "the failure domain is evacuated", ms);
      /* Refusing may change the queue. */
      at = &s->queue;
    }
}

void
evacuation_tick (struct service *s, int64_t now)
{
  if (!has_domains (evacuations_of (s)))
    return;
  for (struct endpoint *e = s->endpoints; e != NULL; e = e->next)
    {
      if (evacuation_use_of (e) != EVACUATION_NONE)
        continue;
      if (has_work (e))
        {
          log_warn (PART,
                    "event=evacuation_closed service=%s endpoint=%s links=%d",
                    s->name, e->id, e->link_count);
          service_drop_links (e, "the failure domain is evacuated");
        }
      /* After the evacuation a time measured before would keep reads away,
         and only reads measure it again. */
      e->replica.latency_us = 0;
      e->replica.behind_at = 0;
    }
  refuse_queue (s, now);
}

void
service_count_remains (const struct service *s, const char *domain,
                       struct evacuation_remains *remains)
{
  for (const struct endpoint *e = s->endpoints; e != NULL; e = e->next)
    if (strcmp (e->failure_domain, domain) == 0)
      for (const struct pooled_link *p = e->links; p != NULL; p = p->next)
        {
          remains->transactions += p->transaction != NULL;
          remains->statements += p->pending != NULL;
        }
}
