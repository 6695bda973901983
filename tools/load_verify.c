/* Reads all rows that this run has written, page by page, and compares them
   with the outcomes of the writes. */
#include "common/clock.h"
#include "tools/load.h"

#include <stdio.h>
#include <stdlib.h>

#define PAGE_SQL                                                              \
  "SELECT id FROM bookings WHERE id > $1 AND id < $2 ORDER BY id LIMIT 500"
#define PAGE_ROWS 500
/* Wait before the ledger is read, so that late writes have taken effect. */
#define LATE_WRITE_WAIT_MS 1000
#define RETRY_DELAY_MS 100
/* Failed attempts in a row after which the verification fails. */
#define MAX_RETRIES 100

/** Progress of reading the rows of one organisation. */
struct ledger_reader
{
  struct load *load;
  struct load_organisation *organisation;
  int retries; /**< Failed attempts to read the current page. */
};

static void request_page (struct ledger_reader *reader);

static void
on_retry (struct tevent_context *ev, struct tevent_timer *te,
          struct timeval now, void *data)
{
  (void)ev, (void)te, (void)now;
  request_page (data);
}

/* Compares the rows with the outcomes and frees the reader.
   @param ok whether all rows were read. */
static void
finish_verification (struct ledger_reader *reader, bool ok)
{
  struct load_organisation *o = reader->organisation;
  reader->load->unfinished_verifications--;
  o->verified = ok;
  reader->load->verify_failed = reader->load->verify_failed || !ok;
  for (uint32_t i = 0; i < o->write_count; i++)
    {
      const struct load_write *w = &o->writes[i];
      bool unknown = !w->answered || w->outcome == OUTCOME_UNKNOWN;
      o->duplicated += w->rows_found > 1;
      if (unknown)
        o->unknown_present += w->rows_found > 0;
      else if (w->outcome == OUTCOME_RAN)
        o->acknowledged_missing += w->rows_found == 0;
      else
        o->not_run_present += w->rows_found > 0;
    }
  talloc_free (reader);
}

/* Counts the rows of a page; their ids hold the index of the write after
   @p prefix bytes. @return the last id of the page. */
static const char *
count_ledger_rows (struct load_organisation *o, const json_t *rows,
                   size_t prefix)
{
  const char *id = NULL;
  for (size_t i = 0; i < json_array_size (rows); i++)
    {
      id = json_string_value (json_array_get (json_array_get (rows, i), 0));
      if (id == NULL || strlen (id) <= prefix)
        continue;
      unsigned long index = strtoul (id + prefix, NULL, 10);
      if (index < o->write_count)
        o->writes[index].rows_found++;
      else
        o->unexpected++;
    }
  return id;
}

/* Counts the rows of an answer, then requests the next page, or the same one
   after a failure. */
static void
on_page (struct load_request *r, const struct load_answer *answer)
{
  struct load *load = r->load;
  struct load_organisation *o = r->organisation;
  /* The talloc parent of the request is its reader. */
  struct ledger_reader *reader
      = talloc_get_type_abort (talloc_parent (r), struct ledger_reader);
  if (answer->outcome == OUTCOME_RAN && answer->code == NULL)
    {
      size_t prefix = strlen (load->run_id) + strlen (o->name) + 2;
      const char *last = count_ledger_rows (o, answer->rows, prefix);
      if (json_array_size (answer->rows) < PAGE_ROWS || last == NULL)
        {
          finish_verification (reader, true);
          return;
        }
      talloc_free (o->last_id_read);
      o->last_id_read = talloc_strdup (load, last);
      reader->retries = 0;
    }
  else if (++reader->retries > MAX_RETRIES)
    {
      fprintf (stderr, "load: verification failed organisation=%s code=%s\n",
               o->name, answer->code != NULL ? answer->code : "none");
      finish_verification (reader, false);
      return;
    }
  int64_t wait
      = answer->retry_after_ms > 0 ? answer->retry_after_ms : RETRY_DELAY_MS;
  tevent_add_timer (
      load->ev, reader,
      reader->retries > 0 ? tevent_timeval_current_ofs (
          (uint32_t)(wait / 1000), (uint32_t)(wait % 1000) * 1000)
                          : tevent_timeval_zero (),
      on_retry, reader);
  talloc_free (r);
}

/* Requests the next page, as a write so that it runs at the primary. */
static void
request_page (struct ledger_reader *reader)
{
  struct load *load = reader->load;
  struct load_request *r = talloc_zero (reader, struct load_request);
  r->load = load;
  r->organisation = reader->organisation;
  r->to_primary = true;
  r->freshness = "read-your-writes";
  r->sql = PAGE_SQL;
  r->params[0] = reader->organisation->last_id_read;
  /* In byte order ":" follows all digits, so this id follows those of all
     writes. */
  r->params[1] = talloc_asprintf (r, "%s-%s-:", load->run_id,
                                  reader->organisation->name);
  r->param_count = 2;
  r->target = reader->retries % load->target_count;
  r->done = on_page;
  load->transport->send (load->transport, r);
}

/* Starts to read the ledger, one reader for each organisation. */
static void
on_late_write_wait_end (struct tevent_context *ev, struct tevent_timer *te,
                        struct timeval now, void *data)
{
  (void)ev, (void)te, (void)now;
  struct load *load = data;
  for (struct load_organisation *o = load->organisations; o != NULL;
       o = o->next)
    {
      struct ledger_reader *reader = talloc_zero (load, struct ledger_reader);
      reader->load = load;
      reader->organisation = o;
      o->last_id_read
          = talloc_asprintf (load, "%s-%s-", load->run_id, o->name);
      request_page (reader);
    }
}

bool
load_verify (struct load *load)
{
  for (struct load_organisation *o = load->organisations; o != NULL;
       o = o->next)
    load->unfinished_verifications++;
  tevent_add_timer (load->ev, load,
                    tevent_timeval_current_ofs (LATE_WRITE_WAIT_MS / 1000, 0),
                    on_late_write_wait_end, load);
  while (load->unfinished_verifications > 0)
    tevent_loop_once (load->ev);
  return !load->verify_failed;
}
