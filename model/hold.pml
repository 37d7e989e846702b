/* Run leases across a change of the owner.
 *
 * An owner has a lease in the store and grants run leases to the runs of one worker. The owner's record can be removed
 * at any time without the owner noticing, and another owner then takes over. The worker may be unreachable for the new
 * owner while the earlier one still reaches it, and its clock may run slow. The new owner waits before it starts the
 * task on another worker. Property: the task never runs on two workers at the same time.
 *
 * Time is counted in steps. One step of real time advances the worker's clock by one step, or by none if a slow step
 * is left and is used. The waits of the code allow for a clock that is slow by 2%; the model allows for SLOW_STEPS
 * steps per run lease.
 *
 * Variants: NO_WAIT removes the wait of the new owner. UNBOUNDED lets an owner grant run leases regardless of the end
 * of its own lease. NO_SLOW_CLOCK omits the slow clock from the wait.
 */

#define TTL 2        /* duration of the owner's lease */
#define EXTENSION 3  /* a run lease ends at most this long after the owner's lease */
#define SLOW_STEPS 1 /* steps by which a slow clock prolongs a run lease */
#define HORIZON 12

#ifdef NO_WAIT
#define TAKEOVER_WAIT 0
#else
#ifdef NO_SLOW_CLOCK
#define TAKEOVER_WAIT (TTL + EXTENSION)
#else
#define TAKEOVER_WAIT (TTL + EXTENSION + SLOW_STEPS)
#endif
#endif

byte now = 0;
byte lease_end = TTL;              /* end of the lease of the first owner, as known to it */
bool record_removed = false;       /* the record of the first owner was removed */
byte takeover_at = 0;              /* when the second owner took over */
byte run_lease_left = 0;           /* steps of the worker's clock until the run lease ends */
byte slow_steps_left = SLOW_STEPS; /* steps in which the worker's clock may not advance */
bool runs_first = false;           /* on the worker that the second owner does not reach */
bool runs_second = false;

inline grant() {
    /* A start or a poll by the first owner, which checks its own lease immediately before. */
#ifdef UNBOUNDED
    run_lease_left = TTL + EXTENSION;
#else
    run_lease_left = lease_end + EXTENSION - now;
#endif
    slow_steps_left = SLOW_STEPS;
    runs_first = true;
}

active proctype system() {
    do
    :: now < HORIZON ->
        atomic {
            /* The first owner renews its lease while its record exists. */
            if
            :: !record_removed && now < lease_end -> lease_end = now + TTL
            :: true -> skip
            fi;
            if
            :: now < lease_end -> grant()
            :: true -> skip
            fi;
            /* The record is removed without the owner noticing, or because the lease has ended. */
            if
            :: !record_removed -> record_removed = true; takeover_at = now
            :: true -> skip
            fi;
            /* After its wait, the second owner starts the task on a worker that it reaches. */
            if
            :: record_removed && now >= takeover_at + TAKEOVER_WAIT -> runs_second = true
            :: true -> skip
            fi;
            assert(!(runs_first && runs_second));
            /* One step of real time. */
            if
            :: slow_steps_left > 0 -> slow_steps_left--
            :: run_lease_left > 0 -> run_lease_left--
            :: else -> skip
            fi;
            if
            :: run_lease_left == 0 -> runs_first = false
            :: else -> skip
            fi;
            now++
        }
    :: else -> break
    od
}
