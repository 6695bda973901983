#include "daemon/admin.h"

#include "common/clock.h"
#include "common/log.h"
#include "daemon/front.h"
#include "daemon/group.h"
#include "daemon/reply.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>

/** State of the admin HTTP interface. */
struct admin
{
  struct http_handler handler; /**< First, as callbacks cast it to admin. */
  struct daemon *daemon;
  struct http_server *server;
};

static json_t *
create_endpoint_json (const struct group *g, const struct endpoint *e)
{
  int64_t now = clock_now ();
  json_t *json = json_object ();
  json_object_set_new (json, "name", json_string (e->name));
  json_object_set_new (
      json, "role",
      json_string (endpoint_is_replaced (e) ? "replaced"
                   : e->index == authority_primary (g->authority)
                       ? "primary"
                       : "replica"));
  json_object_set_new (json, "term",
                       json_integer ((json_int_t)e->status.term));
  json_object_set_new (json, "fence",
                       json_integer ((json_int_t)e->status.fence));
  json_object_set_new (json, "received",
                       json_integer ((json_int_t)e->status.received));
  json_object_set_new (json, "replayed",
                       json_integer ((json_int_t)e->status.replayed));
  json_object_set_new (
      json, "silent_ms",
      json_integer (e->status_received_at > 0
                        ? (now - e->status_received_at) / USEC_PER_MSEC
                        : -1));
  json_object_set_new (json, "connections",
                       json_integer (pgsql_pool_open_count (e->pool)));
  json_object_set_new (json, "running",
                       json_integer (admission_limit_running (e->limit)));
  json_object_set_new (json, "limit",
                       json_integer (admission_limit_value (e->limit)));
  return json;
}

static json_t *
create_group_json (struct group *g)
{
  int64_t now = clock_now ();
  json_t *json = json_object (), *endpoints = json_array ();
  int primary = authority_primary (g->authority);
  json_object_set_new (json, "service", json_string (g->service));
  json_object_set_new (
      json, "term", json_integer ((json_int_t)authority_term (g->authority)));
  json_object_set_new (
      json, "primary",
      json_string (primary >= 0 ? g->endpoints[primary].name : ""));
  json_object_set_new (json, "writable",
                       json_boolean (group_writable_primary (g, now) != NULL));
  json_object_set_new (json, "phase",
                       json_integer (failover_phase (g->failover)));
  json_object_set_new (json, "queued",
                       json_integer (admission_queued (g->writes)
                                     + admission_queued (g->reads)));
  for (int i = 0; i < g->endpoint_count; i++)
    json_array_append_new (endpoints,
                           create_endpoint_json (g, &g->endpoints[i]));
  json_object_set_new (json, "endpoints", endpoints);
  return json;
}

static json_t *
create_budgets_json (struct daemon *d)
{
  json_t *list = json_array ();
  struct budget_report report;
  int64_t now = clock_now ();
  for (int i = 0; budget_report (d->budget, i, now, &report); i++)
    {
      json_t *json = json_object ();
      json_object_set_new (json, "organisation",
                           json_string (report.organisation));
      json_object_set_new (json, "fraction", json_real (report.fraction));
      json_object_set_new (json, "tokens", json_real (report.tokens));
      json_object_set_new (json, "demand", json_real (report.demand));
      json_array_append_new (list, json);
    }
  return list;
}

/* Adds the CPU time and the largest memory use of this process. */
static void
add_resource_usage (json_t *json)
{
  struct rusage usage;
  getrusage (RUSAGE_SELF, &usage);
  int64_t cpu_us
      = ((int64_t)usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) * USEC_PER_SEC
        + usage.ru_utime.tv_usec + usage.ru_stime.tv_usec;
  json_object_set_new (json, "cpu_us", json_integer (cpu_us));
  json_object_set_new (json, "max_rss_kb", json_integer (usage.ru_maxrss));
}

/* Handles GET /status. */
static void
reply_status (struct admin *a, struct http_request *http)
{
  struct daemon *d = a->daemon;
  json_t *json = json_object (), *groups = json_array ();
  const struct cell_record *record = cell_record (d->cell);
  json_object_set_new (json, "name", json_string (d->options->name));
  json_object_set_new (json, "draining", json_boolean (d->draining));
  json_object_set_new (
      json, "lease_valid",
      json_boolean (cell_lease_valid (d->cell, clock_now ())));
  json_object_set_new (json, "cell_version",
                       json_integer ((json_int_t)record->version));
  json_object_set_new (json, "members", json_integer (record->member_count));
  json_object_set_new (json, "config_version",
                       json_integer ((json_int_t)d->config_object.version));
  json_object_set_new (json, "keys_version",
                       json_integer ((json_int_t)d->keys_object.version));
  json_object_set_new (json, "busy",
                       json_integer (front_unfinished_count (d->front)));
  json_object_set_new (json, "peer_bytes",
                       json_integer ((json_int_t)bus_bytes (d->bus)));
  json_object_set_new (json, "peer_messages",
                       json_integer ((json_int_t)bus_messages (d->bus)));
  json_object_set_new (
      json, "platform_calls",
      json_integer ((json_int_t)platform_call_count (d->platform)));
  add_resource_usage (json);
  for (struct group *g = d->groups; g != NULL; g = g->next)
    if (!g->retired)
      json_array_append_new (groups, create_group_json (g));
  json_object_set_new (json, "groups", groups);
  json_object_set_new (json, "budgets", create_budgets_json (d));
  reply_json (http, 200, json, JSON_INDENT (1));
}

static void
on_request (struct http_handler *handler, struct http_request *http)
{
  struct admin *a = (struct admin *)handler;
  bool get = bstr_equals_text (http->method, "GET");
  bool post = bstr_equals_text (http->method, "POST");
  if (get && bstr_equals_text (http->path, "/metrics"))
    {
      *stats_counter (a->daemon->stats, "azurewind_callers_closed_total", "")
          = front_closed_count (a->daemon->front);
      struct bstr text = stats_render (a->daemon->stats, a);
      http_reply (http, 200, "text/plain; version=0.0.4", text, NULL);
      talloc_free ((void *)(uintptr_t)text.start);
    }
  else if (get && bstr_equals_text (http->path, "/status"))
    reply_status (a, http);
  else if (post && bstr_equals_text (http->path, "/drain"))
    {
      http_reply (http, 200, "application/json",
                  bstr_from ("{\"draining\":true}\n"), NULL);
      daemon_drain (a->daemon);
    }
  else
    http_reply (http, 404, "application/json",
                bstr_from ("{\"code\":\"not_found\"}\n"), NULL);
}

static const struct http_handler_ops handler_ops
    = { .request = on_request, .closed = NULL };

struct admin *
admin_create (struct daemon *d, struct error *err)
{
  struct admin *a = talloc_zero (d, struct admin);
  a->handler.ops = &handler_ops;
  a->daemon = d;
  a->server = http_server_create (
      a,
      &(struct http_server_options){ .ev = d->ev,
                                     .address = d->options->admin_listen,
                                     .handler = &a->handler,
                                     .max_body = 4096,
                                     .max_connections = 64,
                                     .idle_seconds = 60,
                                     .half_request_ms
                                     = d->options->half_message_ms },
      err);
  if (a->server == NULL)
    {
      talloc_free (a);
      return NULL;
    }
  return a;
}

int
admin_port (const struct admin *a)
{
  return http_server_port (a->server);
}
