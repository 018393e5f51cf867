/*
 * The order ledger for one key.
 *
 * Two VMs have a request with the same key; each may write the shard's
 * object with a conditional update.  An update may take effect although its
 * response is lost, or be refused because the version has changed.  A VM may
 * crash between claim and dispatch, and the caller may retry at the other VM.
 *
 * Property: the order is dispatched at most once.
 *
 * Seeded mistakes (see check.sh):
 *   NO_CONDITION     the claim is written without the expected version
 *   RETRY_ON_LOSS    a lost response is treated as a successful claim
 *   NO_MARK          a VM treats any claim that it reads back as its own
 */
#define NONE 255

byte version = 0;
byte claimed_by = NONE;
byte dispatched = 0;

inline dispatch() { dispatched++; assert(dispatched <= 1) }

proctype Vm(byte me)
{
    byte known_version;
    byte known_claim;
    bool lost;
    byte tries = 0;
read_back:
    if
    :: tries >= 3 -> goto refused
    :: else -> tries++
    fi;
    atomic { known_version = version; known_claim = claimed_by };
    if
#ifdef NO_MARK
    :: known_claim != NONE && tries > 1 -> goto granted
#else
    :: known_claim == me -> goto granted
#endif
    :: known_claim != NONE -> goto refused
    :: known_claim == NONE
    fi;
    /* The update is in flight: the other VM may write meanwhile.  It may
       also be lost before it takes effect. */
    if
    :: lost = true
    :: lost = false
    :: goto lost_answer
    fi;
    atomic {
        if
#ifdef NO_CONDITION
        :: true ->
#else
        :: version == known_version ->
#endif
            version++;
            claimed_by = me;
            if
            :: lost -> goto lost_answer
            :: else -> goto granted
            fi
        :: version != known_version -> goto read_back
        fi
    };
lost_answer:
#ifdef RETRY_ON_LOSS
    goto granted;
#else
    goto read_back;
#endif
granted:
    if
    :: dispatch()
    :: skip              /* the VM crashes before it dispatches */
    fi;
refused:
    skip
}

init {
    atomic { run Vm(0); run Vm(1) }
}
