/** @file
 * A daemon that starts again while a database begins to drain does not learn
 * of it: the report falls between two pages of the list of servers.
 */
#include "review/lib/page_gate.h"
#include "review/lib/session.h"
#include "tests/relay_site.h"

#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

enum
{
  DAEMONS = 3,
  SERVICES = 8,
  OTHER_SERVERS = 540, /**< Entries of services that are not in use here. */
  DRAIN_MS = 7000,     /**< Of the sites; the daemons here are told 3000. */
  CONTACT_MS = 4000,
  CLIENTS
  = 8, /**< So many read at a time, as one would stay at one replica. */
  JUDGED_MS = 5000, /**< Reads go on for this long after both have passed. */
};

static char drained[] = "db-1-b";
static char database[] = "browse1";
static _Atomic int64_t drained_at;

static void
drain (void *data)
{
  sessiond_site_fault (data, drained, "drain");
  atomic_store (&drained_at, now_ms ());
  record ("the store has accepted that %s drains", drained);
}

/* @return how many statements of callers ran at the drained database. */
static int
count_runs (struct sessiond_site *s)
{
  json_t *observed = sessiond_site_observed (s), *run;
  size_t i;
  int count = 0;
  json_array_foreach (json_object_get (observed, "runs"), i, run) count
      += strcmp (json_string_value (json_object_get (run, "database")),
                 drained)
         == 0;
  json_decref (observed);
  return count;
}

/* @return how many reads the daemon has run as a reader. */
static int
count_reader_runs (struct sessiond_site *s, int daemon)
{
  char *metrics = sessiond_site_metrics (s, daemon);
  char *line = metrics != NULL ? strstr (
                   metrics, "\nazurewind_reader_statements_total{ran=\"1\"}")
                               : NULL;
  return line != NULL ? atoi (strchr (line, ' ')) : 0;
}

static bool
write_entries (struct sessiond_site *s, void *data)
{
  char url[200], body[600];
  struct sessiond_site **site = data;
  *site = s;
  for (int i = 0; i < DAEMONS; i++)
    {
      s->proxy_ports[i].store = sessiond_site_port (s, i) + 6;
      if (page_gate_start (s->proxy_ports[i].store, process_port (s->platform),
                           drain, s)
          != 0)
        return false;
    }
  snprintf (url, sizeof url, "http://127.0.0.1:%d/v1/objects/servers",
            process_port (s->platform));
  for (int i = 0; i < OTHER_SERVERS; i++)
    {
      snprintf (body, sizeof body,
                "{\"meta\":{\"name\":\"i-%06d\"},\"spec\":{\"service\":"
                "\"other-%d\",\"address\":\"127.0.0.1:9\",\"zone\":\"zone-a\","
                "\"config-version\":\"v1\",\"slots\":3,\"state\":\"ready\","
                "\"cold-left-ms\":0,\"db-role\":\"%s\",\"sequence\":1,"
                "\"born\":1}}",
                i, i / 3, i % 3 == 0 ? "primary" : "replica");
      if (process_http (s, "POST", url, body, NULL) != 200)
        return false;
    }
  return true;
}

/** One client that reads until a time. */
struct reading_client
{
  pthread_t thread;
  struct client client;
  int port, number, served;
  int64_t end;
};

static void *
run_client (void *data)
{
  struct reading_client *w = data;
  struct client *c = &w->client;
  struct reply r;
  char name[16];
  snprintf (name, sizeof name, "client-%d", w->number);
  while (now_ms () < w->end)
    {
      if (c->fd < 0 && !client_start (c, name, w->port, database, "key-a1"))
        {
          usleep (100000);
          continue;
        }
      w->served += client_query (c, new_id (), "READ item", &r);
      if (r.state != 'I')
        client_close (c);
      usleep (10000);
    }
  client_close (c);
  return NULL;
}

/* Have the clients read until a time.  @return how many reads were served. */
static int
read_until (int port, int64_t end)
{
  static struct reading_client clients[CLIENTS];
  int served = 0;
  for (int i = 0; i < CLIENTS; i++)
    {
      clients[i] = (struct reading_client){
        .client = { .fd = -1 }, .port = port, .number = i, .end = end
      };
      pthread_create (&clients[i].thread, NULL, run_client, &clients[i]);
    }
  for (int i = 0; i < CLIENTS; i++)
    {
      pthread_join (clients[i].thread, NULL);
      served += clients[i].served;
    }
  return served;
}

int
main (int argc, char **argv)
{
  const char *trouble_text = getenv ("TROUBLE");
  bool trouble = trouble_text == NULL || strcmp (trouble_text, "0") != 0;
  struct sessiond_site *site = NULL;
  if (argc < 2 || !record_open (argv[1]))
    return 2;
  struct sessiond_site *s = sessiond_site_start (
      NULL, &(struct sessiond_site_options){ .daemons = DAEMONS,
                                             .services = SERVICES,
                                             .lag_ms = 8,
                                             .promote_ms = 1000,
                                             .grace_ms = 1000,
                                             .prepare = write_entries,
                                             .data = &site });
  if (s == NULL)
    return 2;
  usleep (2500000);
  /* A service whose reads another daemon than its owner runs at the
     replicas of the failure domain. */
  int reader = -1, runs[DAEMONS];
  for (int k = 1; k <= SERVICES && reader < 0; k++)
    {
      drained[3] = database[6] = (char)('0' + k);
      for (int i = 0; i < DAEMONS; i++)
        runs[i] = count_reader_runs (s, i);
      read_until (sessiond_site_port (s, 0), now_ms () + 700);
      for (int i = 0; i < DAEMONS; i++)
        if (count_reader_runs (s, i) > runs[i] + 10)
          reader = i;
    }
  if (reader < 0)
    return 2;
  int port = sessiond_site_port (s, reader);
  record ("%s is read by vm-%d", database, reader);
  int64_t started_at = now_ms ();
  if (trouble)
    {
      page_gate_arm ();
      record ("vm-%d is killed and starts again", reader);
      process_signal (s->daemons[reader], SIGKILL);
      if (!sessiond_site_start_daemon (s, reader))
        return 2;
      started_at = now_ms ();
      for (int i = 0; i < 400 && atomic_load (&drained_at) == 0; i++)
        usleep (10000);
    }
  else
    drain (s);
  if (atomic_load (&drained_at) == 0)
    {
      record ("the second page was not asked for");
      return 2;
    }
  int64_t judged_from = atomic_load (&drained_at) + DRAIN_MS;
  if (judged_from < started_at + CONTACT_MS)
    judged_from = started_at + CONTACT_MS;
  read_until (port, judged_from);
  int before = count_runs (s);
  record ("drain_ms and contact-ms have passed; %d statements ran at %s",
          before, drained);
  int served = read_until (port, judged_from + JUDGED_MS);
  int late = count_runs (s) - before;
  record ("DRAIN: %d of %d reads reached %s later", late, served, drained);
  printf ("%d of %d reads reached the draining database too late\n", late,
          served);
  talloc_free (s);
  return late > 0 ? 1 : served > 0 ? 0 : 2;
}
