#include "proto/pack.h"
#include "session/packet.h"
#include "tests/tests.h"

#include <math.h>
#include <stdint.h>

static bool
begin_unpack (struct unpack *u, const void *bytes, size_t len)
{
  bool ok = unpack_begin (u, (struct bstr){ bytes, len });
  if (!ok)
    unpack_end (u);
  return ok;
}

/* Guards against numbers and strings at the limits of their encodings that
   change when they are packed and unpacked. */
static void
limits_survive_a_round_trip (void)
{
  static const uint64_t uints[]
      = { 0,     127,   128,        255,       256,
          65535, 65536, UINT32_MAX, INT64_MAX, UINT64_MAX };
  static const int64_t ints[]
      = { INT64_MIN, INT32_MIN, -129, -33, -32, -1, 0, 127, 128, INT64_MAX };
  static const size_t lengths[] = { 0, 31, 32, 255, 256, 65535 };
  static const char zeros[65536];
  struct pack p;
  struct unpack u;
  pack_begin (&p);
  pack_array (&p, 29);
  for (int i = 0; i < 10; i++)
    pack_uint (&p, uints[i]);
  for (int i = 0; i < 10; i++)
    pack_int (&p, ints[i]);
  for (int i = 0; i < 6; i++)
    pack_bstr (&p, (struct bstr){ zeros, lengths[i] });
  pack_double (&p, 1.0 / 3);
  pack_float (&p, 0.25F);
  pack_bool (&p, true);
  struct bstr bytes = pack_bytes (&p);
  CU_ASSERT_FATAL (begin_unpack (&u, bytes.start, bytes.len));
  unpack_array (&u, 29);
  for (int i = 0; i < 10; i++)
    CU_ASSERT_EQUAL (unpack_uint (&u), uints[i]);
  for (int i = 0; i < 10; i++)
    CU_ASSERT_EQUAL (unpack_int (&u), ints[i]);
  for (int i = 0; i < 6; i++)
    CU_ASSERT_EQUAL (unpack_bstr (&u).len, lengths[i]);
  CU_ASSERT_EQUAL (unpack_double (&u), 1.0 / 3);
  CU_ASSERT_EQUAL (unpack_double (&u), 0.25);
  CU_ASSERT_TRUE (unpack_bool (&u));
  CU_ASSERT_FALSE (u.failed);
  CU_ASSERT_EQUAL (unpack_uint (&u), 0);
  CU_ASSERT_TRUE (u.failed); /* There is no value left to read. */
  unpack_end (&u);
  pack_end (&p);
}

/* Guards against a message of a few bytes whose length field makes the reader
   allocate 96 GiB, and against types and trailing bytes that the packer never
   writes. */
static void
foreign_bytes_are_refused (void)
{
  static const struct
  {
    const char *bytes;
    size_t len;
  } bad[] = {
    { "", 0 },
    { "\xDD\xFF\xFF\xFF\xFF", 5 }, /* An array with a 32-bit count. */
    { "\xDD\x00\x00\x00\x00", 5 },
    { "\xDF\xFF\xFF\xFF\xFF", 5 }, /* Maps. */
    { "\x80", 1 },
    { "\xDE\x00\x00", 3 },
    { "\xDB\xFF\xFF\xFF\xFF", 5 }, /* A string with a 32-bit length. */
    { "\xC4\x01x", 3 },            /* Binary. */
    { "\xC0", 1 },                 /* nil */
    { "\xC1", 1 },
    { "\xD4\x01x", 3 },        /* An extension. */
    { "\xDC\xFF\xFF\x00", 4 }, /* More elements than bytes. */
    { "\xA5"
      "abcd",
      5 }, /* A truncated string. */
    { "\xDA\xFF", 2 },
    { "\xD9", 1 },
    { "\xCF\x00\x00", 3 },
    { "\x01\x02", 2 }, /* Two values. */
  };
  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    {
      struct unpack u;
      CU_ASSERT_FALSE (begin_unpack (&u, bad[i].bytes, bad[i].len));
    }
}

/* Guards against a reader that accepts a value of another type or out of
   range, or that continues after an error. */
static void
values_out_of_range_fail (void)
{
  static const char nan_bytes[] = "\xCB\x7F\xF8\x00\x00\x00\x00\x00\x00";
  static const char infinite[] = "\xCA\x7F\x80\x00\x00";
  struct unpack u;
  char text[4];
  CU_ASSERT_FATAL (begin_unpack (&u, nan_bytes, 9));
  CU_ASSERT (unpack_double (&u) == 0 && u.failed);
  unpack_end (&u);
  CU_ASSERT_FATAL (begin_unpack (&u, infinite, 5));
  CU_ASSERT (unpack_double (&u) == 0 && u.failed);
  unpack_end (&u);
  CU_ASSERT_FATAL (
      begin_unpack (&u, "\xCF\xFF\xFF\xFF\xFF\xFF\xFF\xFF\xFF", 9));
  CU_ASSERT (unpack_int (&u) == 0 && u.failed);
  unpack_end (&u);
  CU_ASSERT_FATAL (begin_unpack (&u, "\xFF", 1));
  CU_ASSERT (unpack_uint (&u) == 0 && u.failed);
  unpack_end (&u);
  CU_ASSERT_FATAL (begin_unpack (&u,
                                 "\xA4"
                                 "abcd",
                                 5));
  unpack_text (&u, text, sizeof text);
  CU_ASSERT (u.failed && text[0] == '\0');
  unpack_end (&u);
  CU_ASSERT_FATAL (begin_unpack (&u,
                                 "\xA3"
                                 "a\0b",
                                 4));
  unpack_text (&u, text, sizeof text);
  CU_ASSERT (u.failed && text[0] == '\0');
  unpack_end (&u);
  CU_ASSERT_FATAL (begin_unpack (&u,
                                 "\xA3"
                                 "abc",
                                 4));
  unpack_text (&u, text, sizeof text);
  CU_ASSERT (!u.failed);
  CU_ASSERT_STRING_EQUAL (text, "abc");
  unpack_end (&u);
  CU_ASSERT_FATAL (begin_unpack (&u, "\x92\x01\x02", 3));
  unpack_array (&u, 3);
  CU_ASSERT (u.failed && unpack_uint (&u) == 0 && unpack_bstr (&u).len == 0);
  unpack_end (&u);
  CU_ASSERT_FATAL (begin_unpack (&u, "\x92\x01\x02", 3));
  CU_ASSERT (unpack_array_any (&u, 1) == 0 && u.failed);
  unpack_end (&u);
}

/* Guards against nested arrays that overflow the reader's table of nesting
   levels. */
static void
nesting_is_bounded (void)
{
  static const char nested[] = "\x91\x91\x91\x91\x91\x91\x91\x91\x91\x07";
  struct unpack u;
  CU_ASSERT_FATAL (begin_unpack (&u, nested + 2, 8));
  for (int i = 0; i < UNPACK_MAX_DEPTH - 1; i++)
    unpack_array (&u, 1);
  CU_ASSERT (!u.failed && unpack_uint (&u) == 7);
  unpack_end (&u);
  CU_ASSERT_FATAL (begin_unpack (&u, nested, 10));
  for (int i = 0; i < UNPACK_MAX_DEPTH + 1; i++)
    unpack_array (&u, 1);
  CU_ASSERT (u.failed && u.depth < UNPACK_MAX_DEPTH);
  unpack_end (&u);
}

/* Guards against a long string that is lost or changed: a copy of a
   configuration with hundreds of routes has a length that needs 32 bits. */
static void
long_text_survives_a_round_trip (void)
{
  void *scratch = talloc_new (NULL);
  static const size_t lengths[] = { 65535, 65536, 300000 };
  for (size_t i = 0; i < sizeof lengths / sizeof lengths[0]; i++)
    {
      char *text = talloc_zero_array (scratch, char, lengths[i]);
      memset (text, 'x', lengths[i]);
      struct packet m = { .kind = PACKET_COPY };
      struct packet out = { .kind = PACKET_HEARTBEAT };
      m.copy.items = (struct bstr){ text, lengths[i] };
      CU_ASSERT_TRUE (
          packet_decode (scratch, packet_encode (scratch, &m), &out));
      CU_ASSERT_EQUAL (out.kind, PACKET_COPY);
      CU_ASSERT_TRUE (out.kind == PACKET_COPY
                      && bstr_equals (out.copy.items, m.copy.items));
    }
  CU_ASSERT_FALSE (packet_decode (scratch,
                                  (struct bstr){ "\xDB\xFF\xFF\xFF\xFFx", 6 },
                                  &(struct packet){ 0 }));
  talloc_free (scratch);
}

/* Guards against a PACKET_COMMIT from the previous owner that the current
   owner drops because it cannot be decoded, or reads with other values. */
static void
commit_survives_a_round_trip (void)
{
  void *scratch = talloc_new (NULL);
  struct packet out, m = { .kind = PACKET_COMMIT };
  m.commit = (struct packet_commit){
    .service = UINT64_MAX, .number = 3, .position = { 4, 5 }, .noted = true
  };
  CU_ASSERT_TRUE (packet_decode (scratch, packet_encode (scratch, &m), &out));
  CU_ASSERT_EQUAL (out.kind, PACKET_COMMIT);
  CU_ASSERT_EQUAL (out.commit.service, UINT64_MAX);
  CU_ASSERT_EQUAL (out.commit.number, 3);
  CU_ASSERT_EQUAL (out.commit.position.term, 4);
  CU_ASSERT_EQUAL (out.commit.position.number, 5);
  CU_ASSERT_TRUE (out.commit.noted);
  talloc_free (scratch);
}

/* Guards against a name or an address that is cut where it holds a NUL, and
   then is that of another member, service or endpoint. */
static void
names_hold_no_nul (void)
{
  struct bstr name = { "n-1\0n", 5 }, address = { "tcp://1.2.3.4:5\0", 16 };
  for (int i = 0; i < 14; i++)
    {
      void *scratch = talloc_new (NULL);
      struct packet m = { .sender = { .member = 1 } }, out = { .session = 0 };
      bool whole = i < 7;
      struct bstr texts[7];
      for (int k = 0; k < 7; k++)
        texts[k] = (struct bstr){ "x", 1 };
      texts[i % 7] = i % 7 == 1 || i % 7 == 5 ? address : name;
      if (whole)
        texts[i % 7].len = strlen (texts[i % 7].start);
      if (i % 7 < 3)
        {
          m.kind = PACKET_HEARTBEAT;
          m.heartbeat = (struct packet_heartbeat){ .name = texts[0],
                                                   .address = texts[1],
                                                   .failure_domain = texts[2],
                                                   .capacity = 1 };
        }
      else
        {
          m.kind = i % 2 == 0 ? PACKET_PROBE : PACKET_PROBE_ANSWER;
          m.probe = (struct packet_probe){ .service = texts[3],
                                           .endpoint = texts[4],
                                           .address = texts[5],
                                           .organisation = texts[6] };
        }
      /* The organisation's name is used with its length. */
      CU_ASSERT_EQUAL (
          packet_decode (scratch, packet_encode (scratch, &m), &out),
          whole || i % 7 == 6);
      talloc_free (scratch);
    }
}

static const struct test_case cases[] = {
  { "limits_survive_a_round_trip", limits_survive_a_round_trip },
  { "foreign_bytes_are_refused", foreign_bytes_are_refused },
  { "values_out_of_range_fail", values_out_of_range_fail },
  { "nesting_is_bounded", nesting_is_bounded },
  { "long_text_survives_a_round_trip", long_text_survives_a_round_trip },
  { "commit_survives_a_round_trip", commit_survives_a_round_trip },
  { "names_hold_no_nul", names_hold_no_nul },
  { NULL, NULL },
};
TEST_SUITE (pack, cases)
