#include "session/commit_query.h"

#include "common/log.h"
#include "platform/wire.h"
#include "session/fleet.h"
#include "session/service.h"

#include <inttypes.h>

/* The present owner is asked again after this, as it may just be taking the
   service over. */
#define ASK_AGAIN_US (60 * USEC_PER_MSEC)
/* A takeover and a lost heartbeat; after it the outcome is unknown. */
#define GIVE_UP_US (700 * USEC_PER_MSEC)

struct former_commit
{
  struct former_commit *next;
  struct former_commits *all;
  struct work *work;
  struct packet_result result;
  uint64_t number;
  int64_t since;
};

struct former_commits
{
  struct relay *relay;
  struct former_commit *first;
  uint64_t last_number;
};

struct former_commits *
former_create (struct relay *r)
{
  struct former_commits *f = talloc_zero (r, struct former_commits);
  f->relay = r;
  return f;
}

static void
end_commit (struct former_commit *c, bool noted, const char *reason)
{
  struct former_commit **at = &c->all->first;
  struct work *w = c->work;
  while (*at != c)
    at = &(*at)->next;
  *at = c->next;
  log_info (PART,
            "event=former_commit id=%.*s service=%s position=%" PRIu64
            ".%" PRIu64 " noted=%d asked_ms=%" PRId64 " reason=\"%s\"",
            BSTR_ARG (w->s->id), w->service->name, c->result.position.term,
            c->result.position.number, noted,
            (clock_now () - c->since) / USEC_PER_MSEC, reason);
  if (noted)
    service_give (w, &c->result);
  else
    service_refuse (w, OUTCOME_UNKNOWN, reason, 0);
  talloc_free (c);
}

static void
ask (struct former_commit *c)
{
  struct fleet *fleet = c->all->relay->fleet;
  const struct service *s = c->work->service;
  struct packet m = { .kind = PACKET_COMMIT };
  uint64_t owner = fleet_owner (fleet, s->id);
  m.commit.service = s->id;
  m.commit.number = c->number;
  m.commit.position = c->result.position;
  if (owner != 0)
    fleet_send (fleet, owner, &m);
}

static void
on_ask_again (void *data)
{
  struct former_commit *c = data;
  if (clock_now () - c->since > GIVE_UP_US)
    {
      end_commit (c, false, "the present owner did not confirm the commit");
      return;
    }
  ask (c);
  relay_after (c->all->relay, c, ASK_AGAIN_US, on_ask_again, c);
}

void
former_ask (struct former_commits *f, struct work *w,
            const struct packet_result *r)
{
  struct former_commit *c = talloc_zero (f, struct former_commit);
  c->all = f;
  c->work = w;
  c->result = *r;
  c->result.text = bstr_copy (c, r->text);
  c->result.signature = bstr_copy (c, r->signature);
  c->result.rows = talloc_array (c, struct bstr, (size_t)r->row_count + 1);
  for (int i = 0; i < r->row_count; i++)
    c->result.rows[i] = bstr_copy (c, r->rows[i]);
  c->number = ++f->last_number;
  c->since = clock_now ();
  c->next = f->first;
  f->first = c;
  /* The endpoint is done with it. */
  w->pooled = NULL;
  w->transaction = NULL;
  ask (c);
  relay_after (f->relay, c, ASK_AGAIN_US, on_ask_again, c);
}

void
former_answered (struct former_commits *f, const struct packet *m)
{
  struct former_commit *c = f->first;
  while (c != NULL && c->number != m->commit.number)
    c = c->next;
  /* A repeated answer finds nothing. */
  if (c != NULL)
    end_commit (c, m->commit.noted,
                m->commit.noted ? "the present owner knows it"
                                : "the primary is being replaced");
}

int
former_pending (const struct former_commits *f, const struct service *s)
{
  int count = 0;
  for (const struct former_commit *c = f->first; c != NULL; c = c->next)
    count += c->work->service == s;
  return count;
}
