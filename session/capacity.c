/* Learned concurrency limits of the endpoints. */
#include "common/log.h"
#include "session/service.h"

#include <inttypes.h>

void
capacity_start (struct endpoint *e, int slots)
{
  bool is_learned = e->service->sessiond->options->learned_capacity;
  if (is_learned && e->concurrency == NULL)
    {
      struct stats *stats = e->service->sessiond->stats;
      char *labels
          = talloc_asprintf (e, "service=\"%s\",endpoint=\"%s\",reader=\"%d\"",
                             e->service->name, e->id, e->service->reads_only);
      e->concurrency = concurrency_create (
          e, &(struct concurrency_options){ .slots = slots });
      e->limit_gauge
          = stats_counter (stats, "azurewind_endpoint_limit", labels);
      e->expected_gauge
          = stats_counter (stats, "azurewind_endpoint_expected_us", labels);
      talloc_free (labels);
    }
  else if (is_learned)
    concurrency_set_slots (e->concurrency, slots);
  if (is_learned)
    {
      e->replica.limit = concurrency_limit (e->concurrency);
      *e->limit_gauge = (uint64_t)concurrency_settled (e->concurrency);
    }
}

void
capacity_stop (const struct endpoint *e)
{
  if (e->concurrency != NULL)
    *e->limit_gauge = *e->expected_gauge = 0;
}

void
capacity_count_send (struct pooled_link *p)
{
  const struct pending_statement *ps = p->pending;
  enum statement_verb verb = ps->statement->verb;
  /* Other statements do no work at the endpoint.  With a new connection the
     time contains the handshake. */
  p->shows_load = !p->is_new
                  && (verb == VERB_READ || verb == VERB_WRITE
                      || verb == VERB_EXECUTE || verb == VERB_COMMIT);
  p->is_new = false;
  p->is_counted = true;
  p->is_counted_read = ps->statement->is_read && ps->transaction == NULL;
  p->level = ++p->endpoint->replica.running;
  p->endpoint->replica.running_reads += p->is_counted_read;
}

void
capacity_count_end (struct pooled_link *p)
{
  if (p->is_counted)
    {
      p->endpoint->replica.running--;
      p->endpoint->replica.running_reads -= p->is_counted_read;
    }
  p->is_counted = p->is_counted_read = false;
}

int64_t
capacity_expected_us (const struct endpoint *e, uint64_t kind)
{
  return e->concurrency == NULL
             ? 0
             : concurrency_expected_us (e->concurrency,
                                        latency_unloaded (e->latency, kind),
                                        e->replica.running);
}

void
capacity_record (struct pooled_link *p, int64_t us, int64_t now)
{
  struct endpoint *e = p->endpoint;
  int64_t unloaded = latency_unloaded (e->latency, p->kind);
  if (e->concurrency == NULL || !p->shows_load || unloaded <= 0)
    return;
  int before = concurrency_settled (e->concurrency);
  concurrency_record (e->concurrency, (double)us / (double)unloaded, p->level,
                      now);
  int after = concurrency_settled (e->concurrency);
  e->replica.limit = concurrency_limit (e->concurrency);
  *e->limit_gauge = (uint64_t)after;
  *e->expected_gauge = (uint64_t)capacity_expected_us (e, p->kind);
  if (after != before)
    sessiond_log_request (
        PART,
        "event=concurrency_limit service=%s endpoint=%s from=%d to=%d"
        " ratio=%.2f running=%d",
        e->service->name, e->id, before, after,
        concurrency_ratio (e->concurrency, before), e->replica.running);
}
