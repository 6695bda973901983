#include "common/clock.h"
#include "tools/load.h"

#include <stdio.h>
#include <stdlib.h>

#define PAGE_SQL                                                              \
  "SELECT id FROM bookings WHERE id > $1 AND id < $2 ORDER BY id LIMIT 500"
#define PAGE_ROWS 500
/* A write that is late must have taken effect before the ledger is read. */
#define SETTLE_MS 1000
#define RETRY_MS 100
#define MAX_RETRIES 100

struct page
{
  struct load *load;
  struct load_organisation *organisation;
  int retries;
};

static void read_page (struct page *page);

static void
on_retry (struct tevent_context *ev, struct tevent_timer *te,
          struct timeval now, void *data)
{
  (void)ev, (void)te, (void)now;
  read_page (data);
}

static void
finish (struct page *page, bool ok)
{
  struct load_organisation *o = page->organisation;
  page->load->verifying--;
  o->verified = ok;
  page->load->verify_failed = page->load->verify_failed || !ok;
  for (uint32_t i = 0; i < o->write_count; i++)
    {
      const struct load_write *w = &o->writes[i];
      bool unknown = !w->answered || w->outcome == OUTCOME_UNKNOWN;
      o->duplicated += w->found > 1;
      if (unknown)
        o->unknown_present += w->found > 0;
      else if (w->outcome == OUTCOME_RAN)
        o->missing += w->found == 0;
      else
        o->present += w->found > 0;
    }
  talloc_free (page);
}

/* @return the last id of the page. */
static const char *
count_rows (struct load_organisation *o, const json_t *rows, size_t prefix)
{
  const char *id = NULL;
  for (size_t i = 0; i < json_array_size (rows); i++)
    {
      id = json_string_value (json_array_get (json_array_get (rows, i), 0));
      if (id == NULL || strlen (id) <= prefix)
        continue;
      unsigned long index = strtoul (id + prefix, NULL, 10);
      if (index < o->write_count)
        o->writes[index].found++;
      else
        o->unexpected++;
    }
  return id;
}

static void
on_page (struct load_request *r, const struct load_answer *answer)
{
  struct load *load = r->load;
  struct load_organisation *o = r->organisation;
  /* The page travels in the request's parent. */
  struct page *page = talloc_get_type_abort (talloc_parent (r), struct page);
  if (answer->outcome == OUTCOME_RAN && answer->code == NULL)
    {
      size_t prefix = strlen (load->run) + strlen (o->name) + 2;
      const char *last = count_rows (o, answer->rows, prefix);
      if (json_array_size (answer->rows) < PAGE_ROWS || last == NULL)
        {
          finish (page, true);
          return;
        }
      talloc_free (o->cursor);
      o->cursor = talloc_strdup (load, last);
      page->retries = 0;
    }
  else if (++page->retries > MAX_RETRIES)
    {
      fprintf (stderr, "load: verification failed organisation=%s code=%s\n",
               o->name, answer->code != NULL ? answer->code : "none");
      finish (page, false);
      return;
    }
  int64_t wait
      = answer->retry_after_ms > 0 ? answer->retry_after_ms : RETRY_MS;
  tevent_add_timer (
      load->ev, page,
      page->retries > 0 ? tevent_timeval_current_ofs (
          (uint32_t)(wait / 1000), (uint32_t)(wait % 1000) * 1000)
                        : tevent_timeval_zero (),
      on_retry, page);
  talloc_free (r);
}

/* The statement is sent as a write, so that it runs at the primary. */
static void
read_page (struct page *page)
{
  struct load *load = page->load;
  struct load_request *r = talloc_zero (page, struct load_request);
  r->load = load;
  r->organisation = page->organisation;
  r->to_primary = true;
  r->freshness = "read-your-writes";
  r->sql = PAGE_SQL;
  r->params[0] = page->organisation->cursor;
  r->params[1]
      = talloc_asprintf (r, "%s-%s-:", load->run, page->organisation->name);
  r->param_count = 2;
  r->target = page->retries % load->target_count;
  r->done = on_page;
  load->transport->send (load->transport, r);
}

static void
on_settled (struct tevent_context *ev, struct tevent_timer *te,
            struct timeval now, void *data)
{
  (void)ev, (void)te, (void)now;
  struct load *load = data;
  for (struct load_organisation *o = load->organisations; o != NULL;
       o = o->next)
    {
      struct page *page = talloc_zero (load, struct page);
      page->load = load;
      page->organisation = o;
      o->cursor = talloc_asprintf (load, "%s-%s-", load->run, o->name);
      read_page (page);
    }
}

bool
load_verify (struct load *load)
{
  for (struct load_organisation *o = load->organisations; o != NULL;
       o = o->next)
    load->verifying++;
  tevent_add_timer (load->ev, load,
                    tevent_timeval_current_ofs (SETTLE_MS / 1000, 0),
                    on_settled, load);
  while (load->verifying > 0)
    tevent_loop_once (load->ev);
  return !load->verify_failed;
}
