/* Reservation, reboot and return to service of the VMs of one pool by two maintenance agents.

   Bounds: two VMs, a budget of one, two agents, one crash of a VM, one stale VM list, one lost response, one lease
   that expires although its holder is alive, and the crash of one agent. An agent can be paused between any two
   steps.

   Each of these macros disables one guard:
     NO_COMPARISON      the holder of the lease writes without comparing the revision
     UNCHECKED_RETRY    after a lost response the writer writes again without comparing the revision
     NO_BOOT_CONDITION  the platform reboots without comparing the boot identity
     ANY_OTHER_BOOT     a VM returns to service with any other boot identity, even an older one from a stale list
     IGNORE_OBSERVED    the budget counts only the phases of the record, not the VMs observed as down
     NO_TAKEOVER        only the agent that reserved a VM may continue the operation */

#define VMS 2
#define BUDGET 1

#define SERVING 0
#define RESERVED 1
#define ACTING 2
#define FAILED 3

/* The pool record. */
byte revision = 1;
byte phase[VMS];
byte old_boot[VMS];
byte actor[VMS];
bool done[VMS];

/* The platform. A boot identity is a number that increases with every boot. */
bool up[VMS] = true;
bool rebooting[VMS];
byte boot[VMS] = 1;

byte lease_holder = 0;
bool crashed[2];
byte crashes = 1;
byte stale_lists = 1;
byte lost_responses = 1;
byte expiries = 1;

#define UNAVAILABLE(p, u) ((p) != SERVING || !(u))

inline check_begin() {
    assert(((phase[0] != SERVING || !seen_up[0]) + (phase[1] != SERVING || !seen_up[1])) <= BUDGET)
}

/* Writes the decision to the record by compare-and-swap; `forced` omits the comparison of the revision. */
inline write(forced) {
    if
    :: revision == seen_revision || forced ->
        revision++;
        if
        :: seen_phase[vm] == ACTING && next == SERVING ->
            assert(boot[vm] > old_boot[vm]);
            done[vm] = true
        :: else
        fi;
        phase[vm] = next;
        old_boot[vm] = next_boot;
        actor[vm] = _pid;
        if
        :: next == ACTING -> check_begin()
        :: else
        fi
    :: else
    fi
}

inline call_reboot() {
    if
#ifdef NO_BOOT_CONDITION
    /* The bound on the boots keeps the search finite, because every repeated call would reboot the VM again. */
    :: up[vm] && boot[vm] < 5 ->
#else
    :: up[vm] && boot[vm] == seen_old[vm] ->
#endif
        assert(phase[vm] == ACTING);
        up[vm] = false;
        rebooting[vm] = true;
        assert((rebooting[0] + rebooting[1]) <= BUDGET)
    :: else
    fi
}

inline decide() {
    next = seen_phase[vm];
    next_boot = seen_old[vm];
#ifdef IGNORE_OBSERVED
    unavailable = (seen_phase[0] != SERVING) + (seen_phase[1] != SERVING);
#else
    unavailable = UNAVAILABLE(seen_phase[0], seen_up[0]) + UNAVAILABLE(seen_phase[1], seen_up[1]);
#endif
    if
    :: seen_phase[vm] == SERVING && !seen_up[vm] ->
        next = FAILED;
        next_boot = seen_boot
    :: seen_phase[vm] == SERVING && seen_up[vm] && !seen_done && unavailable + 1 <= BUDGET ->
        next = RESERVED
    :: seen_phase[vm] == FAILED && seen_up[vm] && seen_boot > seen_old[vm] ->
        next = SERVING
    :: seen_phase[vm] == RESERVED && unavailable > BUDGET ->
        next = SERVING
    :: seen_phase[vm] == RESERVED && unavailable <= BUDGET ->
        next = ACTING;
        next_boot = seen_boot
#ifdef ANY_OTHER_BOOT
    :: seen_phase[vm] == ACTING && seen_up[vm] && seen_boot != seen_old[vm] ->
#else
    :: seen_phase[vm] == ACTING && seen_up[vm] && seen_boot > seen_old[vm] ->
#endif
        next = SERVING
    :: else
    fi
}

active [2] proctype agent() {
    byte seen_revision, seen_boot, next, next_boot, vm, unavailable;
    byte seen_phase[VMS];
    byte seen_old[VMS];
    bool seen_up[VMS];
    bool seen_done;

end:
    do
    :: atomic {
        lease_holder == _pid ->
        vm = 1 - vm;
        seen_revision = revision;
        seen_phase[0] = phase[0];
        seen_phase[1] = phase[1];
        seen_old[0] = old_boot[0];
        seen_old[1] = old_boot[1];
        seen_up[0] = up[0];
        seen_up[1] = up[1];
        seen_done = done[vm];
        seen_boot = boot[vm];
        if
        :: stale_lists > 0 && boot[vm] > 1 -> stale_lists--; seen_boot = boot[vm] - 1
        :: true
        fi;
        decide();
#ifdef NO_TAKEOVER
        if
        :: (seen_phase[vm] == RESERVED || seen_phase[vm] == ACTING) && actor[vm] != _pid ->
            seen_phase[vm] = SERVING;
            next = SERVING
        :: else
        fi;
#endif
       }
       if
       :: atomic { next != seen_phase[vm] ->
#ifdef NO_COMPARISON
            write(true)
#else
            write(false)
#endif
            ;
            if
            :: lost_responses > 0 -> lost_responses--; unavailable = 1
            :: true -> unavailable = 0
            fi
          }
          /* After a lost response the agent reads the record again and decides from it. */
#ifdef UNCHECKED_RETRY
          if
          :: atomic { unavailable == 1 -> write(true) }
          :: unavailable == 0
          fi
#endif
       :: atomic { next == seen_phase[vm] && seen_phase[vm] == ACTING -> call_reboot() }
       :: next == seen_phase[vm] && seen_phase[vm] != ACTING
       fi;
       atomic {
        /* Resets the local variables, which would otherwise multiply the number of states. */
        seen_revision = 0; seen_boot = 0; next = 0; next_boot = 0; unavailable = 0; seen_done = false;
        seen_phase[0] = 0; seen_phase[1] = 0; seen_old[0] = 0; seen_old[1] = 0; seen_up[0] = false;
        seen_up[1] = false
       }
    :: atomic { !crashed[0] && !crashed[1] && _pid == 1 -> crashed[1] = true; break }
    od
}

active proctype platform() {
end:
    do
    :: atomic { !up[0] -> up[0] = true; rebooting[0] = false; boot[0]++ }
    :: atomic { !up[1] -> up[1] = true; rebooting[1] = false; boot[1]++ }
    od
}

active proctype failures() {
end:
    do
    :: atomic { crashes > 0 && up[0] -> crashes--; up[0] = false }
    :: atomic { crashes > 0 && up[1] -> crashes--; up[1] = false }
    :: atomic { expiries > 0 -> expiries--; lease_holder = 1 - lease_holder }
    od
}

/* The lease of a crashed holder expires. */
active proctype lease_expiry() {
end:
    do
    :: atomic { crashed[lease_holder] -> lease_holder = 1 - lease_holder }
    od
}

/* Liveness: with a bounded number of failures, every VM is eventually maintained and serving. */
ltl ends { <> (done[0] && done[1] && phase[0] == SERVING && phase[1] == SERVING) }
