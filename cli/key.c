#include "proto/key.h"

#include "cli/cli.h"
#include "proto/token.h"

#include <sodium.h>

/* Function that changes the list of keys; after a conflict it is called again
   on the newer list.
   @return false with @p err set on failure, or with ERROR_NONE if the list
   needs no change. */
typedef bool key_change (json_t *keys, const void *data, struct error *err);

/* Read and validate the keys object; it has an empty list if it does not
   exist yet. */
static json_t *
read_keys (struct cli *cli, struct client_object *object, struct error *err)
{
  if (!client_get (cli->client, KEYS_OBJECT, object, err))
    return NULL;
  if (object->version == 0)
    return json_pack ("{s:[]}", "keys");
  struct keys *keys = keys_parse (cli, object->value, err);
  if (keys == NULL)
    {
      error_wrap (err, ERROR_INVALID, "%s", KEYS_OBJECT);
      return NULL;
    }
  talloc_free (keys);
  return json_loadb (object->value.start, object->value.len, 0, NULL);
}

/* Change the keys object; after a conflict the change is repeated on the
   newer version. */
static bool
update_keys (struct cli *cli, key_change *change, const void *data,
             struct error *err)
{
  for (int i = 0; i < CLI_MAX_CONFLICTS; i++)
    {
      struct client_object object, current;
      *err = (struct error){ 0 };
      json_t *value = read_keys (cli, &object, err);
      if (value == NULL)
        return false;
      bool ok = change (json_object_get (value, "keys"), data, err);
      if (!ok && err->code == ERROR_NONE)
        {
          json_decref (value);
          return true;
        }
      ok = ok
           && client_update (cli->client, KEYS_OBJECT, &object, value,
                             &current, err);
      json_decref (value);
      if (ok || err->code != ERROR_CONFLICT)
        return ok;
      cli_wait_after_conflict ();
    }
  return error_wrap (err, ERROR_CONFLICT, "%d conflicts in a row",
                     CLI_MAX_CONFLICTS);
}

static bool
add_key (json_t *keys, const void *data, struct error *err)
{
  (void)err;
  return json_array_append (keys, (json_t *)data) == 0;
}

/* Check that a service lists the organisation: every service would refuse a
   key of an unknown organisation. */
static bool
check_organisation (struct cli *cli, const char *name, struct error *err)
{
  struct cli_config config;
  if (!cli_read_config (cli, true, &config, err))
    return false;
  for (int i = 0; i < config.settings->service_count; i++)
    if (settings_find_organisation (&config.settings->services[i],
                                    bstr_from (name))
        != NULL)
      return true;
  return error_set (err, ERROR_NOT_FOUND,
                    "no service has an organisation \"%s\"",
                    option_printable (cli, bstr_from (name)));
}

static bool
run_create (struct cli *cli, struct error *err)
{
  const char *organisation = cli->words[0];
  char text[KEY_MAX_TEXT], id[KEY_ID_LENGTH + 1], hash[KEY_HASH_LENGTH + 1];
  if (!check_organisation (cli, organisation, err)
      || !key_create (text, id, err))
    return false;
  key_hash (bstr_from (text), hash);
  json_t *entry = json_pack ("{s:s, s:s, s:s, s:s, s:b}", "id", id, "hash",
                             hash, "organisation", organisation, "created",
                             cli_timestamp (cli), "revoked", 0);
  bool ok = update_keys (cli, add_key, entry, err);
  json_decref (entry);
  if (ok)
    cli_print_fields (cli,
                      (const struct cli_field[]){
                          { "id", id, CLI_FIELD_TEXT },
                          { "organisation", organisation, CLI_FIELD_TEXT },
                          { "key", text, CLI_FIELD_TEXT },
                          { 0 } });
  else if (err->code == ERROR_UNKNOWN)
    error_wrap (err, ERROR_UNKNOWN,
                "the key %s may exist; revoke it and create another one", id);
  sodium_memzero (text, sizeof text);
  return ok;
}

static bool
revoke_key (json_t *keys, const void *data, struct error *err)
{
  const char *id = data;
  size_t i;
  json_t *entry;
  json_array_foreach (keys, i, entry)
  {
    if (strcmp (json_string_value (json_object_get (entry, "id")), id) != 0)
      continue;
    /* The key is revoked already, perhaps by another operator. */
    if (json_is_true (json_object_get (entry, "revoked")))
      return false;
    return json_object_set_new (entry, "revoked", json_true ()) == 0;
  }
  return error_set (err, ERROR_NOT_FOUND, "there is no key with this id");
}

static bool
run_revoke (struct cli *cli, struct error *err)
{
  const char *id = cli->words[0];
  /* The error does not quote the argument: it may be a whole key, given by
     mistake, which must not get into messages. */
  if (strlen (id) != KEY_ID_LENGTH)
    return error_set (err, ERROR_INVALID,
                      "the id of a key has %d characters; see \"key list\"",
                      KEY_ID_LENGTH);
  if (!update_keys (cli, revoke_key, id, err))
    return false;
  cli_print_fields (cli, (const struct cli_field[]){
                             { "id", id, CLI_FIELD_TEXT },
                             { "revoked", "true", CLI_FIELD_LITERAL },
                             { 0 } });
  return true;
}

static bool
run_list (struct cli *cli, struct error *err)
{
  struct client_object object;
  struct keys *keys = NULL;
  if (!client_get (cli->client, KEYS_OBJECT, &object, err))
    return false;
  if (object.version > 0)
    {
      keys = keys_parse (cli, object.value, err);
      if (keys == NULL)
        return false;
    }
  json_t *list = json_array ();
  if (!cli->json)
    fprintf (cli->out, "%-12s  %-20s  %-7s  %s\n", "ID", "CREATED", "REVOKED",
             "ORGANISATION");
  for (int i = 0; keys != NULL && i < keys_count (keys); i++)
    {
      const struct key *key = keys_at (keys, i);
      if (cli->json)
        json_array_append_new (
            list, json_pack ("{s:s, s:s, s:s, s:b}", "id", key->id,
                             "organisation", key->organisation, "created",
                             key->created, "revoked", key->revoked));
      else
        fprintf (cli->out, "%-12s  %-20s  %-7s  %s\n", key->id, key->created,
                 key->revoked ? "yes" : "no", key->organisation);
    }
  if (cli->json)
    cli_print_json (cli, list);
  else
    json_decref (list);
  return true;
}

static bool
run_secret (struct cli *cli, struct error *err)
{
  unsigned char secret[SECRET_BYTES];
  char text[2 * SECRET_BYTES + 1];
  if (sodium_init () < 0)
    return error_set (err, ERROR_INTERNAL, "libsodium does not start");
  randombytes_buf (secret, sizeof secret);
  sodium_bin2hex (text, sizeof text, secret, sizeof secret);
  if (cli->json)
    cli_print_json (cli, json_pack ("{s:s}", "secret", text));
  else
    fprintf (cli->out, "%s\n", text);
  sodium_memzero (secret, sizeof secret);
  sodium_memzero (text, sizeof text);
  return true;
}

const struct cli_command cli_key_commands[] = {
  { "key create", "ORGANISATION", 1, 1, 0, true, run_create,
    "Create a key; its text is shown this one time" },
  { "key list", "", 0, 0, 0, true, run_list,
    "List the keys without their texts" },
  { "key revoke", "ID", 1, 1, 0, true, run_revoke,
    "Revoke a key; it stops working within seconds" },
  { "secret create", "", 0, 0, 0, false, run_secret,
    "Print a new secret of the fleet, for the daemons' secret_file" },
  { 0 },
};
