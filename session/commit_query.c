#include "session/commit_query.h"

#include "common/log.h"
#include "platform/wire.h"
#include "session/fleet.h"
#include "session/service.h"

#include <inttypes.h>

/* Period of repeating a query that is not answered, as the current owner may
   still be taking the service over. */
#define QUERY_RETRY_US (60 * USEC_PER_MSEC)
/* Time for a takeover and a lost heartbeat; without an answer by then the
   outcome of the commit is unknown. */
#define QUERY_TIMEOUT_US (700 * USEC_PER_MSEC)

/** A commit whose outcome depends on the current owner. */
struct commit_query
{
  struct commit_query *next;
  struct commit_queries *queries;
  struct pending_statement *pending;
  struct packet_result result;
  uint64_t number;  /**< Number that the answer repeats. */
  int64_t asked_at; /**< Time of the first query. */
};

/** Commits that wait for the answer of the current owner. */
struct commit_queries
{
  struct sessiond *sessiond;
  struct commit_query *first;
  uint64_t last_number;
};

struct commit_queries *
commit_queries_create (struct sessiond *r)
{
  struct commit_queries *queries = talloc_zero (r, struct commit_queries);
  queries->sessiond = r;
  return queries;
}

/* Send the caller the result of a commit, or the outcome "unknown" if the
   current owner has not recorded it. */
static void
finish_commit (struct commit_query *c, bool noted, const char *reason)
{
  struct commit_query **at = &c->queries->first;
  struct pending_statement *ps = c->pending;
  while (*at != c)
    at = &(*at)->next;
  *at = c->next;
  log_info (PART,
            "event=former_commit id=%s service=%s position=%" PRIu64
            ".%" PRIu64 " noted=%d asked_ms=%" PRId64 " reason=\"%s\"",
            LOG_TEXT (ps->statement->id), ps->service->name,
            c->result.position.term, c->result.position.number, noted,
            (clock_now () - c->asked_at) / USEC_PER_MSEC, reason);
  if (noted)
    service_send_result (ps, &c->result);
  else
    service_refuse (ps, OUTCOME_UNKNOWN, reason, 0);
  talloc_free (c);
}

/* Ask the current owner, if one is known. */
static void
send_commit_query (struct commit_query *c)
{
  struct fleet *fleet = c->queries->sessiond->fleet;
  const struct service *s = c->pending->service;
  struct packet m = { .kind = PACKET_COMMIT };
  uint64_t owner = fleet_owner (fleet, s->id);
  m.commit.service = s->id;
  m.commit.number = c->number;
  m.commit.position = c->result.position;
  if (owner != 0)
    fleet_send (fleet, owner, &m);
}

static void
on_query_retry (void *data)
{
  struct commit_query *c = data;
  if (clock_now () - c->asked_at > QUERY_TIMEOUT_US)
    {
      finish_commit (c, false, "the present owner did not confirm the commit");
      return;
    }
  send_commit_query (c);
  sessiond_call_after (c->queries->sessiond, c, QUERY_RETRY_US, on_query_retry,
                       c);
}

void
commit_queries_add (struct commit_queries *queries,
                    struct pending_statement *ps,
                    const struct packet_result *r)
{
  struct commit_query *c = talloc_zero (queries, struct commit_query);
  c->queries = queries;
  c->pending = ps;
  c->result = *r;
  c->result.text = bstr_copy (c, r->text);
  c->result.signature = bstr_copy (c, r->signature);
  c->result.rows = talloc_array (c, struct bstr, (size_t)r->row_count + 1);
  for (int i = 0; i < r->row_count; i++)
    c->result.rows[i] = bstr_copy (c, r->rows[i]);
  c->number = ++queries->last_number;
  c->asked_at = clock_now ();
  c->next = queries->first;
  queries->first = c;
  /* The endpoint has finished the statement. */
  ps->pooled_link = NULL;
  ps->transaction = NULL;
  send_commit_query (c);
  sessiond_call_after (queries->sessiond, c, QUERY_RETRY_US, on_query_retry,
                       c);
}

void
commit_queries_handle_answer (struct commit_queries *queries,
                              const struct packet *m)
{
  struct commit_query *c = queries->first;
  while (c != NULL && c->number != m->commit.number)
    c = c->next;
  /* A repeated query may be answered after the commit was finished. */
  if (c != NULL)
    finish_commit (c, m->commit.noted,
                   m->commit.noted ? "the current owner recorded it"
                                   : "the primary is being replaced");
}

int
commit_queries_count (const struct commit_queries *queries,
                      const struct service *s)
{
  int count = 0;
  for (const struct commit_query *c = queries->first; c != NULL; c = c->next)
    count += c->pending->service == s;
  return count;
}
