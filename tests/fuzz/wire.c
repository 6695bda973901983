/** @file
 * Fuzzes the parsers of requests, replies and statuses of the line protocol,
 * and packet_decode with packets between session daemons.
 */
#include "platform/wire.h"
#include "session/packet.h"
#include "tests/fuzz/fuzz.h"

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct bstr line = { (const char *)data, size };
  struct wire_request request = wire_parse_request (line);
  struct wire_reply reply = wire_parse_reply (line);
  struct wire_status status;
  void *scratch = talloc_new (NULL);
  struct packet *packet = talloc_zero (scratch, struct packet);
  if (request.kind == WIRE_QUERY)
    {
      FUZZ_CHECK (request.id.len > 0);
      FUZZ_CHECK (request.statement.verb < VERB_COUNT);
      FUZZ_CHECK (request.statement.text.start + request.statement.text.len
                  == line.start + line.len);
    }
  FUZZ_CHECK (reply.kind != WIRE_ERROR || reply.outcome != OUTCOME_OK);
  wire_parse_status (line, &status);
  if (packet_decode (scratch, line, packet))
    {
      struct packet *again = talloc_zero (scratch, struct packet);
      FUZZ_CHECK (
          packet_decode (scratch, packet_encode (scratch, packet), again));
      FUZZ_CHECK (again->kind == packet->kind);
      FUZZ_CHECK (again->sender.member == packet->sender.member);
    }
  talloc_free (scratch);
  return 0;
}
