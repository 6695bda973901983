#include "session/model.h"

#include <sodium.h>
#include <stdlib.h>

/* The key is not a secret: ids only have to be the same in all session
   daemons. */
static const unsigned char id_key[crypto_shorthash_KEYBYTES] = "azurewind ids";

static uint64_t
hash (const void *bytes, size_t len)
{
  unsigned char out[crypto_shorthash_BYTES];
  uint64_t value;
  crypto_shorthash (out, bytes, len, id_key);
  memcpy (&value, out, sizeof value);
  return value;
}

uint64_t
model_id (struct bstr name)
{
  return hash (name.start, name.len);
}

uint64_t
model_rank (uint64_t service, uint64_t member)
{
  uint64_t pair[2] = { service, member };
  return hash (pair, sizeof pair);
}

static int
compare_bstr (struct bstr a, struct bstr b)
{
  size_t len = a.len < b.len ? a.len : b.len;
  int order = len > 0 ? memcmp (a.start, b.start, len) : 0;
  return order != 0 ? order : (a.len > b.len) - (a.len < b.len);
}

static int
compare_routes (const void *a, const void *b)
{
  return compare_bstr (((const struct route *)a)->database,
                       ((const struct route *)b)->database);
}

static int
compare_services (const void *a, const void *b)
{
  uint64_t x = ((const struct service_config *)a)->id;
  uint64_t y = ((const struct service_config *)b)->id;
  return (x > y) - (x < y);
}

void
config_sort (struct config *config)
{
  if (config->service_count > 0)
    qsort (config->services, (size_t)config->service_count,
           sizeof config->services[0], compare_services);
  if (config->route_count > 0)
    qsort (config->routes, (size_t)config->route_count,
           sizeof config->routes[0], compare_routes);
}

const struct route *
config_find_route (const struct config *config, struct bstr database)
{
  struct route wanted = { .database = database };
  if (config->route_count == 0)
    return NULL;
  return bsearch (&wanted, config->routes, (size_t)config->route_count,
                  sizeof config->routes[0], compare_routes);
}

const struct service_config *
config_find_service (const struct config *config, struct bstr name)
{
  struct service_config wanted = { .id = model_id (name) };
  if (config->service_count == 0)
    return NULL;
  return bsearch (&wanted, config->services, (size_t)config->service_count,
                  sizeof config->services[0], compare_services);
}

const struct organisation *
config_find_organisation (const struct config *config, struct bstr key)
{
  if (key.len == 0)
    return NULL;
  for (int i = 0; i < config->organisation_count; i++)
    for (int k = 0; k < config->organisations[i].key_count; k++)
      if (bstr_equals (config->organisations[i].keys[k], key))
        return &config->organisations[i];
  return NULL;
}
