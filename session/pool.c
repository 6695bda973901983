#include "common/log.h"
#include "session/directory.h"
#include "session/service.h"

/* Part of an endpoint's connections that the pool does not use: they are for
   probes and for connections of the previous owner that the endpoint has not
   dropped yet. */
#define RESERVED_CONNECTIONS 2
/* Connections that the pool may open at any setting. */
#define MIN_CONNECTIONS 2
/* For this time after an endpoint has refused a connection, the pool has no
   more than the endpoint accepted.  After a loss of power the endpoint keeps
   the connections of the previous process for some seconds. */
#define REFUSED_LIMIT_US (500 * USEC_PER_MSEC)
/* An endpoint is taken to send answers twice for this time after it has. */
#define REPEAT_MEMORY_US (60 * USEC_PER_SEC)
/* Cost of a connection that must be reset: more than that of setting
   SESSION_MAX_VALUES values. */
#define RESET_COST 1000

static void
on_answered (void *data, struct link *link, const struct link_answer *answer)
{
  (void)link;
  service_handle_answer (data, answer);
}

/* Remove a connection from the pool; the caller frees it. */
static void
detach_link (struct pooled_link *p)
{
  struct endpoint *e = p->endpoint;
  struct pooled_link **at = &e->links;
  while (*at != p)
    at = &(*at)->next;
  *at = p->next;
  e->link_count--;
  capacity_count_end (p);
  if (p->is_probe)
    e->is_probing = false;
}

/* The link frees itself after this call. */
static void
on_lost (void *data, struct link *link, const struct link_loss *loss)
{
  (void)link;
  struct pooled_link *p = data;
  p->link = NULL;
  detach_link (p);
  service_handle_link_loss (p, loss);
  talloc_free (p);
}

static void
on_repeated (void *data)
{
  struct pooled_link *p = data;
  p->endpoint->repeated_at = clock_now ();
}

static const struct link_ops link_callbacks
    = { .answered = on_answered, .repeated = on_repeated, .lost = on_lost };

bool
pool_is_strict (const struct endpoint *e)
{
  return e->repeated_at != 0
         && clock_now () - e->repeated_at < REPEAT_MEMORY_US;
}

struct pooled_link *
pool_open (struct endpoint *e, struct bstr organisation)
{
  struct service *s = e->service;
  struct error err = { 0 };
  struct pooled_link *p = talloc_zero (s->sessiond, struct pooled_link);
  p->endpoint = e;
  p->link = link_open (s->sessiond,
                       &(struct link_options){ .sessiond = s->sessiond,
                                               .service = s->name,
                                               .organisation = organisation,
                                               .endpoint = e->id,
                                               .address = e->address,
                                               .ops = &link_callbacks,
                                               .data = p },
                       &err);
  if (p->link == NULL)
    {
      log_warn (PART, "event=no_connection endpoint=%s reason=\"%s\"", e->id,
                err.text);
      talloc_free (p);
      return NULL;
    }
  ++*stats_counter (s->sessiond->stats, "azurewind_endpoint_connections_total",
                    "");
  p->is_new = true;
  p->opened_at = p->last_used = clock_now ();
  p->next = e->links;
  e->links = p;
  e->link_count++;
  return p;
}

void
pool_close (struct pooled_link *p)
{
  detach_link (p);
  link_close (p->link);
  talloc_free (p);
}

static bool
link_is_free (const struct pooled_link *p)
{
  return p->pending == NULL && p->transaction == NULL && !p->is_probe
         && link_is_idle (p->link);
}

/* @return the free connection of an organisation that suits the statement and
   needs the fewest values set; one that must be reset comes last. */
static struct pooled_link *
find_free_link (struct endpoint *e, const struct packet_statement *statement)
{
  struct link_use use = {
    .writes = !statement->is_read,
    .begins = statement->verb == VERB_BEGIN
              && (!statement->is_read || pool_is_strict (e)),
    .position = e->replica.position,
  };
  struct pooled_link *best = NULL;
  int best_cost = 0;
  for (struct pooled_link *p = e->links; p != NULL; p = p->next)
    {
      if (!link_is_free (p)
          || !bstr_equals (link_organisation (p->link),
                           statement->organisation)
          || !link_suits (p->link, &use))
        continue;
      int cost = link_setup_cost (p->link, statement->values,
                                  statement->value_count);
      if (cost < 0)
        cost = RESET_COST;
      if (best == NULL || cost < best_cost)
        {
          best = p;
          best_cost = cost;
        }
    }
  return best;
}

bool
pool_has_free_link (const struct endpoint *e, struct bstr organisation)
{
  for (const struct pooled_link *p = e->links; p != NULL; p = p->next)
    if (link_is_free (p)
        && bstr_equals (link_organisation (p->link), organisation))
      return true;
  return false;
}

/* @return how many connections to an endpoint the pool may have: at a replica
   the reader in its failure domain and the owner divide them. */
static int
connection_limit (const struct endpoint *e)
{
  const struct service *s = e->service;
  const struct service_config *config
      = s->sessiond->config != NULL
            ? config_find_service (s->sessiond->config, bstr_from (s->name))
            : NULL;
  int limit = config != NULL ? config->max_connections - RESERVED_CONNECTIONS
                             : MIN_CONNECTIONS;
  int for_reader = replicas_reader_connections (
      limit, s->listed_count - 1,
      directory_domain_count (s->sessiond->directory));
  if (s->reads_only)
    limit = for_reader;
  else if (e != s->primary)
    limit -= for_reader;
  if (limit < MIN_CONNECTIONS)
    limit = MIN_CONNECTIONS;
  return clock_now () < e->refused_until && limit > e->refused_limit
             ? e->refused_limit
             : limit;
}

void
pool_limit_connections (struct endpoint *e, int64_t now)
{
  e->refused_limit = e->link_count > 1 ? e->link_count : 1;
  e->refused_until = now + REFUSED_LIMIT_US;
}

/* Close the least recently used free connection.
   @return whether there was one. */
static bool
close_oldest_free_link (struct endpoint *e)
{
  struct pooled_link *oldest = NULL;
  for (struct pooled_link *p = e->links; p != NULL; p = p->next)
    if (link_is_free (p)
        && (oldest == NULL || p->last_used < oldest->last_used))
      oldest = p;
  if (oldest == NULL)
    return false;
  pool_close (oldest);
  return true;
}

struct pooled_link *
pool_acquire (struct endpoint *e, const struct packet_statement *statement)
{
  struct pooled_link *p = find_free_link (e, statement);
  if (p != NULL)
    return p;
  if (e->link_count >= connection_limit (e))
    {
      if (!close_oldest_free_link (e))
        return NULL;
    }
  else if (clock_now () < e->no_connection_until)
    return NULL;
  return pool_open (e, statement->organisation);
}

void
pool_probe (struct endpoint *e, bool status)
{
  const struct config *config = e->service->sessiond->config;
  if (config == NULL || config->organisation_count == 0)
    return;
  /* The endpoint would refuse one more. */
  if (e->link_count >= connection_limit (e))
    close_oldest_free_link (e);
  struct pooled_link *p = pool_open (e, config->organisations[0].name);
  if (p == NULL)
    return;
  p->is_probe = true;
  e->is_probing = true;
  if (status)
    {
      link_request_status (p->link);
      ++*stats_counter (e->service->sessiond->stats,
                        "azurewind_endpoint_probes_total", "");
    }
}
