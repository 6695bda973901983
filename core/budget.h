/** @file
 * Rate limit of each organisation, divided among the members of a cell.
 *
 * Each member has a fraction of an organisation's rate and burst, and a token
 * bucket that this fraction fills.  Members transfer fractions and tokens to
 * each other; a transfer deducts at the sender first, so that the fractions
 * of all members never add up to more than 1.  A need is a member's request
 * for a transfer, a grant is the transfer.
 *
 * Each new version of the member list freezes the fractions.  Every member
 * reports its holdings to the coordinator, which sends each of them its
 * allotment; a member that applied its allotment has settled the version.
 * docs/design.md, section 3.5, and docs/budget.md.
 */
#ifndef CORE_BUDGET_H
#define CORE_BUDGET_H

#include "core/cell.h"

/** One member's fractions and token buckets of all organisations. */
struct budget;

/** Options of one member's budget. */
struct budget_options
{
  uint64_t self;       /**< Id of this member. */
  int64_t resend_us;   /**< Time until an unacknowledged grant is resent. */
  int64_t max_wait_us; /**< Longest wait of a request for tokens; 0: 40 ms. */
  /** Longest wait of a request while an allotment is expected, because
   * silent members hold at least a tenth of the budget or because the version
   * of the member list is not settled; 0: the default, 3 s; negative: requests
   * never wait longer than max_wait_us. */
  int64_t silent_wait_us;
  bool static_shares; /**< Baseline for comparisons: never move fractions. */
};

/** What budget_admit decided about a request. */
enum budget_verdict
{
  BUDGET_ADMIT, /**< The request may run; a token was taken for it. */
  BUDGET_WAIT,  /**< The request waits for tokens or for the first lease; call
                   budget_admit again within wait_us. */
  BUDGET_REFUSE /**< The request exceeds the rate, or the organisation's rate
                   or the lease does not allow it; it may be sent again after
                   retry_us. */
};

struct budget_decision
{
  enum budget_verdict verdict;
  int64_t wait_us;  /**< BUDGET_WAIT: time until the next call at most. */
  int64_t retry_us; /**< BUDGET_REFUSE: time after which a retry may pass. */
};

/** Bytes of "SERVICE/ORGANISATION" and its terminating NUL. */
#define BUDGET_NAME_SIZE 128

enum budget_message_kind
{
  BUDGET_NEED,     /**< The sender asks for a fraction and for tokens. */
  BUDGET_GRANT,    /**< The sender transfers a fraction and tokens; id 0: it
                      has nothing to transfer. */
  BUDGET_GRANT_ACK /**< The sender applied the grant with this id. */
};

/** Message between two members of a cell about one organisation. */
struct budget_message
{
  enum budget_message_kind kind;
  uint64_t from, to; /**< Ids of the sending and of the receiving member. */
  uint64_t version;  /**< Version of the member list that the sender uses; the
                        receiver ignores messages of other versions. */
  char organisation[BUDGET_NAME_SIZE];
  uint64_t id;     /**< Id of the grant, unique per sender. */
  double fraction; /**< Part of the organisation's rate and burst that is asked
                      for or granted. */
  double tokens;   /**< Tokens that are asked for or granted. */
  bool urgent;     /**< BUDGET_NEED: requests wait for these tokens. */
  /** Fraction and tokens that the sender still has; from them the receiver
   * chooses which peer to ask. */
  double held_fraction, held_tokens;
  /** Empty BUDGET_GRANT: peer that got the sender's last grant and may have
   * what the sender lacks; 0: none. */
  uint64_t last_grantee;
};

/** Report on one organisation in a heartbeat. */
struct budget_report
{
  uint64_t from; /**< Id of the reporting member. */
  char organisation[BUDGET_NAME_SIZE];
  double fraction; /**< Fraction of the reporting member. */
  double tokens;   /**< Tokens in its bucket. */
  double demand;   /**< Requests per second that reached it lately. */
};

/** Fraction of one organisation that one member holds (its holding) or that
 * the coordinator assigns to it (its allotment). */
struct budget_holding
{
  uint64_t member;
  char organisation[BUDGET_NAME_SIZE];
  double fraction;
};

/** Create the budget of one member, which holds nothing yet. */
struct budget *budget_create (void *parent,
                              const struct budget_options *options);
/** Set or change an organisation's rate (requests per second) and burst. */
void budget_set_rate (struct budget *b, const char *organisation, double rate,
                      double burst, int64_t now);
/** Decide whether a request may run now, and take its token if so.
 * @param lease_valid result of cell_lease_valid at @p now.
 * @param waited_us time since the first call for this request, 0 in that
 * call. */
struct budget_decision budget_admit (struct budget *b,
                                     const char *organisation,
                                     bool lease_valid, int64_t waited_us,
                                     int64_t now);
/** Put the token of an admitted request back.  Only for a request that was
 * certainly not run. */
void budget_refund (struct budget *b, const char *organisation, int64_t now);
/** Handle a message of a peer.  After a grant the caller may call budget_admit
 * again for the waiting requests. */
void budget_on_message (struct budget *b, const struct budget_message *m,
                        int64_t now);
/** Handle a report from a peer's heartbeat. */
void budget_on_report (struct budget *b, const struct budget_report *r,
                       int64_t now);
/** Get the report on the organisation at @p index, which counts from 0.
 * @return false when there is no further report for a heartbeat. */
bool budget_report (struct budget *b, int index, int64_t now,
                    struct budget_report *report);
/** Get the next message to send.  Call until it returns false, after each
 * event and at least every resend_us. */
bool budget_next_message (struct budget *b, int64_t now,
                          struct budget_message *message);
/** Set whether this member is leaving the cell: a leaving member grants its
 * fractions and tokens to its peers. */
void budget_set_leaving (struct budget *b, bool leaving);

/** Perform CELL_ADOPT: stop moving fractions until budget_settle, and use
 * the member list of @p record.
 * @param keep whether the fractions of this process are still valid; false
 * if it was removed since the version that it used before: it then holds
 * nothing. */
void budget_freeze (struct budget *b, const struct cell_record *record,
                    bool keep, int64_t now);
/** Get the own holding of the organisation at @p index, which counts from 0.
 * @return false when there is no further holding for a holdings message. */
bool budget_holding (const struct budget *b, int index,
                     struct budget_holding *holding);
/** Record one holding that a member reported for @p version (coordinator
 * only). */
void budget_on_holding (struct budget *b, uint64_t version,
                        const struct budget_holding *holding);
/** Get the allotment of @p member for the organisation at @p index, which
 * counts from 0 (coordinator only).  To be called only once CELL_ALLOT was
 * returned for this version; the first call computes the allotment, which
 * does not change afterwards.
 * @return false when there is no further allotment for an allot message. */
bool budget_allotment (struct budget *b, uint64_t member, int index,
                       struct budget_holding *allotment);
/** Set this member's fraction to the one allotted under @p version.  Burst
 * that it gains starts without tokens.  Ignored if the version is not the
 * current one or is settled. */
void budget_allot (struct budget *b, uint64_t version,
                   const char *organisation, double fraction, int64_t now);
/** Allow fractions to move again, after all fractions of an allot message
 * were set.  An organisation that the message does not name is new and is
 * divided equally.
 * @return whether @p version is now settled; call cell_on_allot then. */
bool budget_settle (struct budget *b, uint64_t version, int64_t now);

#endif
