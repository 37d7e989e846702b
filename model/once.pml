/* A request that must not be executed more than once. Its identity was issued by incarnation 1 of entry VM 0, which
   may be paused at any step and may be killed and replaced by incarnation 2. The caller sends the request up to three
   times, to the issuer or to entry VM 1, which forwards it. Responses of the backend server may be lost. At a planned
   stop the issuer hands the state of the identity over to incarnation 3, of another entry VM, even while the request
   is being executed.

   Each of these macros disables one guard:
     ANY_INCARNATION      the replacement runs requests with identities of the earlier incarnation
     NO_STARTED_STATE     the issuer does not record that it has started the request
     RETRY_UNKNOWN        after an unknown outcome the identity counts as unused
     RUN_FOR_OTHERS       entry VM 1 runs the request itself when the issuer does not accept it
     RUN_AFTER_HAND_OVER  a stopping issuer still runs requests with identities that it has handed over
     HAND_OVER_TWICE      after a lost response the issuer hands the identities over to another entry VM as well */

#define UNUSED 0
#define STARTED 1
#define FINISHED 2

#define NOT_RUN 0
#define RAN 1
#define UNKNOWN 2

chan to_issuer = [3] of { byte };
byte sends = 3;
byte refusals = 1;
byte runs;
bool killed;

/* The backend server runs the request or responds that it did not start it. The response to a run may be lost. */
inline attempt(outcome) {
    atomic {
        if
        :: refusals > 0 -> refusals--; outcome = NOT_RUN
        :: runs++; assert(runs <= 1); outcome = RAN
        :: runs++; assert(runs <= 1); outcome = UNKNOWN
        fi
    }
}

/* Each incarnation has its own state in memory, which is lost when it is killed. */
byte state[5];
bool handed_over;
bool took_over[5];

#ifdef ANY_INCARNATION
#define MAY_RUN true
#else
#ifdef RUN_AFTER_HAND_OVER
#define MAY_RUN (incarnation == 1 || took_over[incarnation])
#else
#define MAY_RUN ((incarnation == 1 && !handed_over) || took_over[incarnation])
#endif
#endif

/* One of the two threads of an incarnation that handle deliveries. A request that a killed issuer has already sent
   to the backend server may still run. */
proctype handler(byte incarnation) {
    byte outcome, copy;
    bool runs_request;
end:
    do
    :: incarnation == 1 && killed -> break
    :: to_issuer?copy ->
       copy = 0;
       atomic {
        runs_request = MAY_RUN && state[incarnation] == UNUSED;
#ifndef NO_STARTED_STATE
        if
        :: runs_request -> state[incarnation] = STARTED
        :: else
        fi
#endif
       }
       if
       :: runs_request ->
          attempt(outcome);
          if
          :: outcome == NOT_RUN -> state[incarnation] = UNUSED
          :: outcome == RAN -> state[incarnation] = FINISHED
#ifdef RETRY_UNKNOWN
          :: outcome == UNKNOWN -> state[incarnation] = UNUSED
#else
          :: outcome == UNKNOWN
#endif
          fi
       :: else
       fi;
       outcome = 0;
       runs_request = false
    od
}

proctype replacement() {
end:
    do
    :: atomic { !killed -> killed = true; run handler(2); run handler(2); break }
    od
}

proctype planned_stop() {
end:
    do
    :: atomic {
        !killed && !handed_over ->
        handed_over = true;
        state[3] = state[1];
        took_over[3] = true;
        run handler(3);
#ifdef HAND_OVER_TWICE
        state[4] = state[1];
        took_over[4] = true;
        run handler(4);
#endif
        break
       }
    od
}

proctype forwarder() {
    byte outcome;
end:
    do
    :: atomic { sends > 0 && nfull(to_issuer) -> sends--; to_issuer!1 }
#ifdef RUN_FOR_OTHERS
    :: sends > 0 && killed -> sends--; attempt(outcome); outcome = 0
#endif
    od
}

proctype caller() {
end:
    do
    :: atomic { sends > 0 && nfull(to_issuer) -> sends--; to_issuer!1 }
    od
}

init { atomic { run handler(1); run handler(1); run replacement(); run planned_stop(); run forwarder(); run caller() } }

/* Liveness: every copy that was sent is eventually received by a handler. */
ltl ends { <> (sends == 0 && len(to_issuer) == 0) }
