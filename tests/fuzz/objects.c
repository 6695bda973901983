/** @file
 * Fuzzes the decoders of the platform's objects: the configuration, endpoints,
 * the list of voters and promotion records.  Other writers may leave out
 * fields or give them other types.
 */
#include "platform/objects.h"
#include "common/address.h"
#include "platform/store.h"
#include "tests/fuzz/fuzz.h"

/* Look up what was decoded, as the daemon does. */
static void
check_config (const struct config *config)
{
  for (int i = 0; i < config->route_count; i++)
    {
      FUZZ_CHECK (config->routes[i].database.len > 0);
      FUZZ_CHECK (config_find_route (config, config->routes[i].database)
                  != NULL);
    }
  for (int i = 0; i < config->service_count; i++)
    FUZZ_CHECK (config_find_service (config, config->services[i].name)
                != NULL);
  for (int i = 0; i < config->organisation_count; i++)
    for (int k = 0; k < config->organisations[i].key_count; k++)
      FUZZ_CHECK (
          config_find_organisation (config, config->organisations[i].keys[k])
          != NULL);
}

/* The id and the service are parts of lines that are sent to the endpoint. */
static void
check_endpoint (const struct endpoint_entry *entry)
{
  struct sockaddr_in address;
  FUZZ_CHECK (entry->id.len > 0 && entry->service.len > 0 && entry->slots > 0);
  FUZZ_CHECK (strcspn (entry->id.start, " \t\r\n") == entry->id.len);
  FUZZ_CHECK (strcspn (entry->service.start, " \t\r\n") == entry->service.len);
  FUZZ_CHECK (address_parse (entry->address.start, &address)
              && address.sin_port != 0);
}

static void
check_voters (const struct voter_list *list)
{
  json_t *spec = objects_encode_voters (list);
  FUZZ_CHECK (spec != NULL);
  FUZZ_CHECK (json_array_size (json_object_get (spec, "voters"))
              == (size_t)list->count);
  json_decref (spec);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  json_t *object = json_loadb ((const char *)data, size, 0, NULL);
  void *scratch = talloc_new (NULL);
  struct endpoint_entry entry;
  struct error err = { 0 };
  bool deleted;
  if (object == NULL)
    goto done;
  struct config *config = objects_decode_config (scratch, object, &err);
  if (config != NULL)
    check_config (config);
  if (objects_decode_endpoint (scratch, object, &entry, &err))
    check_endpoint (&entry);
  struct voter_list list = objects_decode_voters (scratch, object);
  check_voters (&list);
  objects_decode_promotion (object);
  objects_name (store_event_object (object, &deleted));
  json_array_size (store_items (object));
  store_has_more (object);
  store_revision (object);
done:
  json_decref (object);
  talloc_free (scratch);
  return 0;
}
