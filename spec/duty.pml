/*
 * The lease of the duties: two VMs, the duty object in the store, and the
 * cloud API, which does not check tokens.
 *
 * Every event is one atomic step and any event may happen at any time.  A
 * frozen VM is one that makes no step while the clock advances.  A write takes
 * effect at most LATE ticks after it was sent, or never, and its response counts
 * for CALL ticks, which are the time limit of a call, or never.  A call is
 * executed at most LATE ticks after it was sent, or never.  The store may be
 * replaced once by an older copy, in a new era.
 *
 * Properties: two VMs never use the same token, and no call is executed after
 * one with a higher token.
 *
 * Seeded mistakes (see check.sh):
 *   EXPIRY_FROM_RESPONSE  the lease starts when the write's response arrives
 *   NO_CHECK_AT_SENDING   a call is not checked again when it is sent
 *   SHORT_OBSERVATION     a candidate takes over while the lease may last
 *   UNCONDITIONAL_WRITE   a write does not depend on the revision
 *   RELEASE_AT_ONCE       a lease is released while a call may be executed late
 *   NO_SETTLING           a holder calls at once after it took over
 *   NO_ERA                a token does not contain the store's era
 *   NO_RESTORE_WAIT       a restored object without a holder is taken at once
 */
#define LEASE 2
#define CALL 1
#define LATE 2
#define END 6
#define NEVER 255
#define ERA_STEP 8
#define WRITES_MAX 3         /* bounds the search */

#ifdef SHORT_OBSERVATION
#define OBSERVATION 1
#else
#define OBSERVATION (LEASE + 1)
#endif

byte now = 0;

/* The object; holder 0 is none, 1 and 2 are the VMs. */
byte holder = 0;
byte count = 0;              /* of holdings: the counter of the token */
byte revision = 0;
byte era = 0;
byte copy_holder, copy_count, copy_revision;
bool copied = false;

byte token[2];               /* of the lease held, or 0 */
byte until[2];
byte held_revision[2];
byte acts_from[2];

byte seen_revision[2];       /* of the object as read, or NEVER */
byte seen_at[2];
byte seen_holder[2];
byte seen_count[2];
byte known_era[2];
byte rose_at[2];             /* when this VM learned of the new era, + 1 */

byte write[2];               /* 0 none, 1 sent, 2 took effect, 3 conflicted */
bool write_takes[2];         /* it acquires the lease; otherwise it renews */
byte write_at[2];
byte write_revision[2];
byte write_token[2];
byte write_era[2];
bool write_settles[2];

byte call[2];                /* 0 none, 1 decided, 2 sent */
byte call_token[2];
byte call_at[2];

byte last_token = 0;         /* the highest token executed */
byte last_vm = 0;
byte writes = 0;

#ifdef NO_ERA
#define new_token(v) (seen_count[v] + 1)
#else
#define new_token(v) (known_era[v] * ERA_STEP + seen_count[v] + 1)
#endif

#define may_act(v) \
    (token[v] > 0 && now + CALL <= until[v] && now >= acts_from[v])

inline give_up(v)
{
    token[v] = 0; until[v] = 0; held_revision[v] = 0; acts_from[v] = 0
}

inline forget(v)
{
    seen_revision[v] = NEVER; seen_at[v] = 0; seen_holder[v] = 0;
    seen_count[v] = 0
}

/* A response of the store states its era. */
inline learn_era(v)
{
    if
    :: known_era[v] < era ->
        known_era[v] = era; rose_at[v] = now + 1; give_up(v); forget(v)
    :: else
    fi
}

inline read(v)
{
    learn_era(v);
    if
    :: seen_revision[v] != revision ->
        seen_revision[v] = revision; seen_at[v] = now;
        seen_holder[v] = holder; seen_count[v] = count
    :: else
    fi
}

#ifdef NO_RESTORE_WAIT
#define restore_is_over(v) true
#else
#define restore_is_over(v) (rose_at[v] == 0 || now >= rose_at[v] - 1 + OBSERVATION)
#endif

#define is_free(v) \
    (restore_is_over(v) && (seen_holder[v] == 0 || seen_holder[v] == v + 1 || \
        now >= seen_at[v] + OBSERVATION))

inline send_write(v, takes, settles)
{
    writes++; write[v] = 1; write_takes[v] = takes; write_at[v] = now;
    write_settles[v] = settles; write_era[v] = known_era[v];
    if
    :: takes ->
        write_revision[v] = seen_revision[v]; write_token[v] = new_token(v)
    :: else ->
        write_revision[v] = held_revision[v]; write_token[v] = token[v]
    fi
}

inline apply_write(v)
{
    if
#ifdef UNCONDITIONAL_WRITE
    :: true ->
#else
    :: write_revision[v] == revision ->
#endif
        holder = v + 1; revision++;
        if
        :: write_takes[v] -> count = write_token[v] % ERA_STEP
        :: else
        fi;
        write_revision[v] = revision;
        write[v] = 2
#ifndef UNCONDITIONAL_WRITE
    :: else -> write[v] = 3
#endif
    fi
}

inline end_write(v)
{
    write[v] = 0; write_takes[v] = false; write_at[v] = 0;
    write_revision[v] = 0; write_token[v] = 0; write_era[v] = 0;
    write_settles[v] = false
}

inline take_response(v)
{
    learn_era(v);
    if
    :: write[v] == 2 && write_era[v] == era &&
       (write_takes[v] || token[v] == write_token[v]) ->
        token[v] = write_token[v];
        held_revision[v] = write_revision[v];
#ifdef EXPIRY_FROM_RESPONSE
        until[v] = now + LEASE;
#else
        until[v] = write_at[v] + LEASE;
#endif
#ifndef NO_SETTLING
        if
        :: write_settles[v] -> acts_from[v] = now + LATE - CALL
        :: else
        fi;
#endif
        forget(v)
    :: else -> give_up(v); forget(v)
    fi;
    end_write(v)
}

inline execute(v)
{
    assert(call_token[v] >= last_token);
    assert(call_token[v] != last_token || last_vm == v + 1);
    last_token = call_token[v]; last_vm = v + 1;
    end_call(v)
}

inline end_call(v)
{
    call[v] = 0; call_token[v] = 0; call_at[v] = 0
}

#ifdef NO_CHECK_AT_SENDING
#define may_send(v) true
#else
#define may_send(v) (may_act(v) && token[v] == call_token[v])
#endif

#ifdef RELEASE_AT_ONCE
#define may_release(v) (call[v] == 0 || now > call_at[v] + CALL)
#else
#define may_release(v) (call[v] == 0 && now >= acts_from[v])
#endif

/* The write of a release is taken to be answered, which is the worst case. */
inline release(v)
{
    if
    :: held_revision[v] == revision && known_era[v] == era ->
        holder = 0; revision++
    :: else
    fi;
    give_up(v)
}

inline expire(v)
{
    if
    :: token[v] > 0 && now >= until[v] -> give_up(v)
    :: else
    fi;
    if
    :: call[v] == 2 && now > call_at[v] + LATE -> end_call(v)
    :: else
    fi;
    if
    :: write[v] >= 2 && now > write_at[v] + CALL -> end_write(v)
    :: write[v] == 1 && now > write_at[v] + LATE -> end_write(v)
    :: else
    fi
}

/* The VMs are alike and the clock is relative: VM 0 writes first, at 0. */
#define has_begun (revision > 0 || era > 0)

#define EVENTS(v) \
    :: atomic { (v == 0 || has_begun) && write[v] == 0 && token[v] == 0 -> \
        read(v) } \
    :: atomic { writes < WRITES_MAX && write[v] == 0 && token[v] == 0 && \
        call[v] != 1 && \
        seen_revision[v] != NEVER && is_free(v) -> \
            send_write(v, true, seen_holder[v] != 0 || rose_at[v] != 0) } \
    :: atomic { writes < WRITES_MAX && write[v] == 0 && token[v] > 0 -> send_write(v, false, false) } \
    :: atomic { write[v] == 1 -> apply_write(v) } \
    :: atomic { write[v] >= 2 -> take_response(v) } \
    :: atomic { call[v] == 0 && may_act(v) -> \
        call[v] = 1; call_token[v] = token[v] } \
    :: atomic { call[v] == 1 && may_send(v) -> call[v] = 2; call_at[v] = now } \
    :: atomic { call[v] == 1 && !may_send(v) -> end_call(v) } \
    :: atomic { call[v] == 2 -> execute(v) } \
    :: atomic { call[v] == 2 -> end_call(v) } \
    :: atomic { token[v] > 0 && write[v] == 0 && call[v] != 1 && \
        may_release(v) -> release(v) }

active proctype Events()
{
    forget(0); forget(1);
    do
    :: atomic { now < END && (has_begun || write[0] > 0) -> now++; expire(0); expire(1) }
    :: atomic { !copied && era == 0 -> copied = true; copy_holder = holder;
        copy_count = count; copy_revision = revision }
    :: atomic { copied && era == 0 -> era = 1; holder = copy_holder;
        count = copy_count; revision = copy_revision; copied = false;
        copy_holder = 0; copy_count = 0; copy_revision = 0 }
    EVENTS(0)
    EVENTS(1)
    :: now >= END -> break
    od
}
