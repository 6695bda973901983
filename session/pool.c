#include "common/log.h"
#include "session/service.h"

/* Connections left to others: probes, and a former owner's that the endpoint
   has not dropped yet. */
#define SPARE_CONNECTIONS 2
#define LEAST_CONNECTIONS 2

static void
on_answered (void *data, struct link *link, const struct link_answer *answer)
{
  (void)link;
  service_answered (data, answer);
}

/* The link frees itself after this call. */
static void
forget (struct pooled *p)
{
  struct endpoint *e = p->endpoint;
  struct pooled **at = &e->links;
  while (*at != p)
    at = &(*at)->next;
  *at = p->next;
  e->link_count--;
  if (p->counts)
    e->view.running--;
  if (p->is_probe)
    e->probing = false;
}

static void
on_lost (void *data, struct link *link, const struct link_loss *loss)
{
  (void)link;
  struct pooled *p = data;
  p->link = NULL;
  forget (p);
  service_lost (p, loss);
  talloc_free (p);
}

static const struct link_ops ops
    = { .answered = on_answered, .lost = on_lost };

struct pooled *
pool_open (struct endpoint *e, struct bstr organisation)
{
  struct service *s = e->service;
  struct error err = { 0 };
  struct pooled *p = talloc_zero (s->relay, struct pooled);
  p->endpoint = e;
  p->link = link_open (s->relay,
                       &(struct link_options){ .relay = s->relay,
                                               .service = s->name,
                                               .organisation = organisation,
                                               .endpoint = e->id,
                                               .address = e->address,
                                               .ops = &ops,
                                               .data = p },
                       &err);
  if (p->link == NULL)
    {
      log_warn (PART, "event=no_connection endpoint=%s reason=\"%s\"", e->id,
                err.text);
      talloc_free (p);
      return NULL;
    }
  ++*stats_counter (s->relay->stats, "azurewind_endpoint_connections_total",
                    "");
  p->opened_at = p->last_used = clock_now ();
  p->next = e->links;
  e->links = p;
  e->link_count++;
  return p;
}

void
pool_close (struct pooled *p)
{
  forget (p);
  link_close (p->link);
  talloc_free (p);
}

static bool
is_free (const struct pooled *p)
{
  return p->work == NULL && p->transaction == NULL && !p->is_probe
         && link_is_idle (p->link);
}

static struct pooled *
find_free (struct endpoint *e, struct bstr organisation,
           const struct session_value *values, int value_count)
{
  struct pooled *best = NULL;
  int best_distance = 0;
  for (struct pooled *p = e->links; p != NULL; p = p->next)
    {
      if (!is_free (p)
          || !bstr_equals (link_organisation (p->link), organisation))
        continue;
      int distance = link_distance (p->link, values, value_count);
      if (distance < 0)
        distance = 1000;
      if (best == NULL || distance < best_distance)
        {
          best = p;
          best_distance = distance;
        }
    }
  return best;
}

static int
connection_limit (const struct endpoint *e)
{
  const struct service *s = e->service;
  const struct service_config *config
      = s->relay->config != NULL
            ? config_find_service (s->relay->config, bstr_from (s->name))
            : NULL;
  int most = config != NULL ? config->max_connections - SPARE_CONNECTIONS
                            : LEAST_CONNECTIONS;
  return most > LEAST_CONNECTIONS ? most : LEAST_CONNECTIONS;
}

/* Make room by closing the free link that was used least lately. */
static bool
evict (struct endpoint *e)
{
  struct pooled *oldest = NULL;
  for (struct pooled *p = e->links; p != NULL; p = p->next)
    if (is_free (p) && (oldest == NULL || p->last_used < oldest->last_used))
      oldest = p;
  if (oldest == NULL)
    return false;
  pool_close (oldest);
  return true;
}

struct pooled *
pool_acquire (struct endpoint *e, struct bstr organisation,
              const struct session_value *values, int value_count)
{
  struct pooled *p = find_free (e, organisation, values, value_count);
  if (p != NULL)
    return p;
  if (clock_now () < e->no_connection_until)
    return NULL;
  if (e->link_count >= connection_limit (e) && !evict (e))
    return NULL;
  return pool_open (e, organisation);
}

void
pool_probe (struct endpoint *e, bool status)
{
  const struct config *config = e->service->relay->config;
  if (config == NULL || config->organisation_count == 0)
    return;
  struct pooled *p = pool_open (e, config->organisations[0].name);
  if (p == NULL)
    return;
  p->is_probe = true;
  e->probing = true;
  if (status)
    {
      link_status (p->link);
      ++*stats_counter (e->service->relay->stats,
                        "azurewind_endpoint_probes_total", "");
    }
}
