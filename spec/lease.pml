/*
 * The lease protocol for one strict budget, such as a cold upstream's window.
 *
 * A new version of the shard map replaces the first owner by a second; two
 * holders request leases of the whole budget, which is one unit.  Every
 * event is one atomic step and any event may happen at any time, so messages
 * may be lost, duplicated and delayed.  A paused process is one that makes
 * no step while the clock advances.
 *
 * Property: the units in use never exceed the limit of one.
 *
 * Seeded mistakes (see check.sh):
 *   EXPIRY_FROM_RECEIPT  a lease's term starts when the response is received
 *   NO_SILENCE           a new owner grants leases without waiting
 *   NO_CONFIRMATION      an owner grants leases though its map may be stale
 *   DROP_ON_VOID         an owner drops a lease that is reported as void,
 *                        and its holder applies a duplicate response again
 */
#define TERM 2
#define END 5
#define NEVER 255

byte now = 0;
byte moved_at = NEVER;       /* when the store accepted the new map */
bool confirmed = false;      /* old owner's map, within this tick */

byte lease_until[2];         /* by holder; 0 without a lease */
byte applied_ask[2];         /* newest renewal applied, as its time + 1 */
byte out_until[4];           /* the owner's record, by owner and holder */

bool asking[4];              /* a renewal in flight, by owner and holder */
byte asked_at[4];
bool answering[2];           /* a response in flight, by holder */
byte answered_ask[2];

#define in_use ((lease_until[0] > now) + (lease_until[1] > now))

/* One tick: expired leases and renewals that are too old are cleared. */
inline tick()
{
    now++;
    confirmed = false;
    i = 0;
    do
    :: i < 4 ->
        if
        :: out_until[i] <= now -> out_until[i] = 0
        :: else
        fi;
        if
        :: asking[i] && asked_at[i] + 2 * TERM <= now ->
            asking[i] = false; asked_at[i] = 0
        :: else
        fi;
        i++
    :: else -> break
    od;
    i = 0
}

inline ask(o, h)
{
    asking[o * 2 + h] = true;
    asked_at[o * 2 + h] = now
}

inline grant(o, h)
{
    if
    :: out_until[o * 2 + 1 - h] <= now ->
        out_until[o * 2 + h] = now + TERM;
        answering[h] = true;
        answered_ask[h] = asked_at[o * 2 + h]
    :: else
    fi;
    if
    :: asking[o * 2 + h] = false; asked_at[o * 2 + h] = 0
    :: skip                           /* the renewal is duplicated */
    fi
}

/* A holder applies a response unless it has applied it or a newer one. */
inline take(h)
{
    if
#ifdef DROP_ON_VOID
    :: answered_ask[h] + 1 >= applied_ask[h] ->
#else
    :: answered_ask[h] + 1 > applied_ask[h] ->
#endif
        applied_ask[h] = answered_ask[h] + 1;
#ifdef EXPIRY_FROM_RECEIPT
        lease_until[h] = now + TERM;
#else
        lease_until[h] = answered_ask[h] + TERM;
#endif
    :: else
    fi;
    if
    :: answering[h] = false; answered_ask[h] = 0
    :: skip                           /* the response is duplicated */
    fi;
    assert(in_use <= 1)
}

/* A holder gives up its lease and reports it in its next renewal. */
#define may_give_up(o, h) \
    (lease_until[h] > now && out_until[o * 2 + h] > now && \
     (!answering[h] || answered_ask[h] + 1 <= applied_ask[h]))

inline give_up(o, h)
{
    lease_until[h] = 0;
    out_until[o * 2 + h] = 0
}

/* The old owner may grant only if its map was confirmed in this tick. */
#ifdef NO_CONFIRMATION
#define old_may_grant true
#else
#define old_may_grant confirmed
#endif

/* The new owner waits until the old one has stopped granting and the leases
   that it granted have expired. */
#ifdef NO_SILENCE
#define new_may_grant (moved_at != NEVER)
#else
#define new_may_grant (moved_at != NEVER && now >= moved_at + 1 + TERM)
#endif

active proctype Events()
{
    byte i = 0;
    do
    :: atomic { now < END -> tick() }
    :: atomic { moved_at == NEVER -> moved_at = now }
    :: atomic { moved_at == NEVER && !confirmed -> confirmed = true }
    :: atomic { !asking[0] -> ask(0, 0) }
    :: atomic { !asking[1] -> ask(0, 1) }
    :: atomic { moved_at != NEVER && !asking[2] -> ask(1, 0) }
    :: atomic { moved_at != NEVER && !asking[3] -> ask(1, 1) }
    :: atomic { asking[0] && old_may_grant && !answering[0] -> grant(0, 0) }
    :: atomic { asking[1] && old_may_grant && !answering[1] -> grant(0, 1) }
    :: atomic { asking[2] && new_may_grant && !answering[0] -> grant(1, 0) }
    :: atomic { asking[3] && new_may_grant && !answering[1] -> grant(1, 1) }
    :: atomic { answering[0] -> take(0) }
    :: atomic { answering[1] -> take(1) }
    :: atomic { answering[0] -> answering[0] = false; answered_ask[0] = 0 }
    :: atomic { answering[1] -> answering[1] = false; answered_ask[1] = 0 }
    :: atomic { may_give_up(0, 0) -> give_up(0, 0) }
    :: atomic { may_give_up(0, 1) -> give_up(0, 1) }
    :: now >= END -> break
    od
}
