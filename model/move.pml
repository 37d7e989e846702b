/* Moves of one VM from pool a to pool b or c. Pool a has two agents and the others one; with the macro
   TWO_TARGET_AGENTS, pool b has two and the others one.

   Bounds: two moves, the first of which may be cancelled at any time. Every agent reads the two records it needs at
   different times and can be paused between any two steps. The entry of a VM that the target has in state INCOMING is
   called the incoming entry of the move.

   Each of these macros disables one guard:
     NO_COMPARISON         records are written without comparing the revision
     TAKEOVER_ON_ABSENCE   the target takes over the VM as soon as the source does not list it
     ANY_INCOMING_ENTRY    the source hands the VM over because of the incoming entry of any move, not only of
                           the current one
     REMOVE_ON_OLD_RECORD  the target removes an incoming entry because of a source record that is older than the
                           entry
     KEEP_ENTRIES          the target never removes the incoming entry of a cancelled move */

#ifdef REMOVE_ON_OLD_RECORD
/* A read of the source can be older than the entry only if another agent of the target wrote the entry. */
#define TWO_TARGET_AGENTS
#endif

#define A_SERVING 0
#define A_MOVING 1
#define A_DEPARTED 2

#define NOT_LISTED 0
#define INCOMING 1
#define OWNED 2

#define MOVES 2

byte a_revision = 1;
byte a_state = A_SERVING;
byte a_target;
byte a_operation;
byte departed_target;
byte departed_operation;
byte departed_revision;

/* Index 0 is pool b, index 1 is pool c. */
byte t_revision[2] = 1;
byte t_state[2];
byte t_operation[2];
byte t_source_revision[2];

byte moves;

#define OWNS(t) (t_state[t] == OWNED || \
    (t_state[t] == INCOMING && a_state == A_DEPARTED && departed_target == t && \
     departed_operation == t_operation[t]))

inline check_owner() {
    assert(((a_state != A_DEPARTED) + OWNS(0) + OWNS(1)) == 1)
}

#ifdef NO_COMPARISON
#define UNCHANGED(now, seen) true
#else
#define UNCHANGED(now, seen) (now == seen)
#endif

#ifdef ANY_INCOMING_ENTRY
#define ENTRY_MATCHES true
#else
#define ENTRY_MATCHES (entry_operation == seen_operation)
#endif

#ifdef TAKEOVER_ON_ABSENCE
#define HANDED_OVER true
#else
#define HANDED_OVER (seen_departed_target == t && seen_departed_op == seen_operation)
#endif

#ifdef REMOVE_ON_OLD_RECORD
#define SOURCE_IS_NEW_ENOUGH true
#else
#define SOURCE_IS_NEW_ENOUGH (source_revision >= seen_source_revision)
#endif

proctype source_agent() {
    byte seen_revision, seen_state, seen_target, seen_operation, seen_departed_op, seen_departed_rev;
    byte entry_state, entry_operation, entry_revision, other;
end:
    do
    :: atomic { seen_revision = a_revision; seen_state = a_state; seen_target = a_target;
                seen_operation = a_operation; seen_departed_op = departed_operation;
                seen_departed_rev = departed_revision;
                other = (a_state == A_DEPARTED -> departed_target : a_target) }
       atomic { entry_state = t_state[other]; entry_operation = t_operation[other];
                entry_revision = t_revision[other] }
       if
       :: atomic { seen_state == A_SERVING && moves < MOVES && UNCHANGED(a_revision, seen_revision) ->
            a_revision++; moves++; a_state = A_MOVING; a_operation = moves;
            if
            :: a_target = 0
            :: a_target = 1
            fi;
            check_owner() }
       :: atomic { seen_state == A_MOVING && seen_operation < MOVES && UNCHANGED(a_revision, seen_revision) ->
            a_revision++; a_state = A_SERVING; a_operation = 0; a_target = 0; check_owner() }
       :: atomic { seen_state == A_MOVING && entry_state == INCOMING && ENTRY_MATCHES &&
            UNCHANGED(a_revision, seen_revision) ->
            a_revision++; a_state = A_DEPARTED; departed_target = seen_target;
            departed_operation = seen_operation; departed_revision = entry_revision;
            a_operation = 0; a_target = 0; check_owner() }
       :: atomic { seen_state == A_DEPARTED && seen_departed_op != 0 && entry_revision >= seen_departed_rev &&
            !(entry_state == INCOMING && entry_operation == seen_departed_op) &&
            UNCHANGED(a_revision, seen_revision) ->
            a_revision++; departed_operation = 0; departed_target = 0; departed_revision = 0; check_owner() }
       :: else
       fi;
       atomic { seen_revision = 0; seen_state = 0; seen_target = 0; seen_operation = 0; seen_departed_op = 0;
                seen_departed_rev = 0; entry_state = 0; entry_operation = 0; entry_revision = 0; other = 0 }
    od
}

proctype target_agent(byte t) {
    byte seen_revision, seen_state, seen_operation, seen_source_revision;
    byte source_revision, source_state, source_target, source_operation, seen_departed_target, seen_departed_op;
end:
    do
    :: atomic { source_revision = a_revision; source_state = a_state; source_target = a_target;
                source_operation = a_operation; seen_departed_target = departed_target;
                seen_departed_op = departed_operation }
       atomic { seen_revision = t_revision[t]; seen_state = t_state[t]; seen_operation = t_operation[t];
                seen_source_revision = t_source_revision[t] }
       if
       :: atomic { seen_state == NOT_LISTED && source_state == A_MOVING && source_target == t &&
            UNCHANGED(t_revision[t], seen_revision) ->
            t_revision[t]++; t_state[t] = INCOMING; t_operation[t] = source_operation;
            t_source_revision[t] = source_revision; check_owner() }
       :: atomic { seen_state == INCOMING && source_state == A_DEPARTED && HANDED_OVER &&
            UNCHANGED(t_revision[t], seen_revision) ->
            t_revision[t]++; t_state[t] = OWNED; check_owner() }
#ifndef KEEP_ENTRIES
       :: atomic { seen_state == INCOMING && SOURCE_IS_NEW_ENOUGH &&
            !(source_state == A_MOVING && source_operation == seen_operation) &&
            !(seen_departed_target == t && seen_departed_op == seen_operation) &&
            UNCHANGED(t_revision[t], seen_revision) ->
            t_revision[t]++; t_state[t] = NOT_LISTED; t_operation[t] = 0; t_source_revision[t] = 0;
            check_owner() }
#endif
       :: else
       fi;
       atomic { seen_revision = 0; seen_state = 0; seen_operation = 0; seen_source_revision = 0;
                source_revision = 0; source_state = 0; source_target = 0; source_operation = 0;
                seen_departed_target = 0; seen_departed_op = 0 }
    od
}

init {
    atomic {
        run source_agent();
        run target_agent(0);
        run target_agent(1);
#ifdef TWO_TARGET_AGENTS
        run target_agent(0);
#else
        run source_agent();
#endif
    }
}

/* Liveness: the last move, which is not cancelled, completes, and no incoming entry of another move remains. */
ltl ends { <> (a_state == A_DEPARTED && (t_state[0] == OWNED || t_state[1] == OWNED) &&
               t_state[0] != INCOMING && t_state[1] != INCOMING) }
