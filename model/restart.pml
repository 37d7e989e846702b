/* Runs on a worker that restarts under the same id.
 *
 * The owner of a task sends a start order to a worker. The order and the response may take any time or be lost, and the
 * worker may restart at any time. A restarted worker knows nothing of before, and it may execute a start that is still
 * in transit, unless a stop order reached an earlier incarnation first: the owner sends a stop only after it has given up
 * the start and closed its connection. Responses name the incarnation that sent them, but for some that accept a start.
 * The owner starts the task on another worker once it considers the run ended. Property: the task never runs on both
 * workers at the same time.
 *
 * Bounds: one start order, RESTARTS restarts, one poll and one stop order in transit at a time.
 *
 * Variants: RELEASE_ACCEPTED releases an accepted run whose incarnation is not known when the worker has restarted.
 * RELEASE_UNANSWERED does so with a start without a response. EARLY_REPORT takes a run for ended that a report does not
 * list, although the poll was sent before the worker accepted the run.
 */

#define RESTARTS 2

mtype = { starting, running, stopping, released };

/* The worker. */
byte incarnation = 1;
bool has_run = false;
bool is_blocked = false; /* the start was stopped on this incarnation */
bool is_start_in_transit = true;

/* Responses in transit to the owner, by the incarnation that sent them; 0 for none. */
byte acceptance = 0;
byte confirmation = 0;
byte report = 0;
bool report_lists_run = false;

/* Orders in transit to the worker. */
bool is_stop_in_transit = false;
bool is_poll_in_transit = false;

/* The owner. */
mtype phase = starting;
byte known_incarnation = 1;
byte run_incarnation = 0;       /* the incarnation that has shown to have the run; 0 until one has */
bool is_stop_sent = false;
bool has_responded = false;     /* to the order that started this phase */
bool is_poll_after_response = false;
bool runs_elsewhere = false;

/* A response of an incarnation after the known one shows a restart. */
inline note_restart(sender) {
    if
    :: sender > known_incarnation ->
        known_incarnation = sender;
        is_stop_sent = false;
        if
        :: run_incarnation != 0 && run_incarnation != sender -> phase = released
#ifdef RELEASE_ACCEPTED
        :: run_incarnation == 0 && phase == running -> phase = released
#endif
        :: run_incarnation == 0 && phase != running && phase != released ->
#ifdef RELEASE_UNANSWERED
            phase = released
#else
            phase = stopping;
            has_responded = false
#endif
        :: else -> skip
        fi
    :: else -> skip
    fi
}

inline set_responded() {
    has_responded = true;
    is_poll_after_response = false
}

active proctype system() {
    do
    /* The worker. */
    :: atomic { incarnation <= RESTARTS -> incarnation++; has_run = false; is_blocked = false }
    :: atomic {
        is_start_in_transit ->
            is_start_in_transit = false;
            if
            :: !is_blocked -> has_run = true; acceptance = incarnation
            :: else -> skip
            fi;
            assert(!(has_run && runs_elsewhere))
       }
    :: atomic {
        is_stop_in_transit ->
            is_stop_in_transit = false;
            has_run = false;
            is_blocked = true;
            /* A start that was stopped is not executed by a later incarnation either. */
            is_start_in_transit = false;
            confirmation = incarnation
       }
    :: atomic {
        is_poll_in_transit ->
            is_poll_in_transit = false;
            report = incarnation;
            report_lists_run = has_run
       }
    /* Losses. */
    :: atomic { acceptance != 0 -> acceptance = 0 }
    :: atomic { confirmation != 0 -> confirmation = 0 }
    :: atomic { is_stop_in_transit -> is_stop_in_transit = false }
    /* The owner gives up waiting for the response to the start. */
    :: atomic { phase == starting -> phase = stopping }
    :: atomic { phase == stopping && !is_stop_in_transit && !is_stop_sent && confirmation == 0 ->
                is_stop_in_transit = true }
    :: atomic { phase != released && !is_poll_in_transit && report == 0 ->
                is_poll_in_transit = true; is_poll_after_response = has_responded }
    :: atomic {
        acceptance != 0 ->
            if
            :: acceptance >= known_incarnation && phase != released ->
                if
                :: true -> run_incarnation = acceptance; note_restart(acceptance)
                :: true -> skip /* the response names no incarnation */
                fi;
                if
                :: phase == starting -> phase = running; set_responded()
                :: else -> skip
                fi
            :: else -> skip
            fi;
            acceptance = 0
       }
    :: atomic {
        confirmation != 0 ->
            if
            :: phase == stopping && confirmation >= known_incarnation ->
                note_restart(confirmation);
                if
                :: phase == stopping -> is_stop_sent = true; set_responded()
                :: else -> skip
                fi
            :: else -> skip
            fi;
            confirmation = 0
       }
    :: atomic {
        report != 0 ->
            if
            :: phase != released && report >= known_incarnation ->
                note_restart(report);
                if
                :: phase != released && report_lists_run ->
                    run_incarnation = report;
                    if
                    :: phase == starting -> phase = running; set_responded()
                    :: else -> skip
                    fi
#ifdef EARLY_REPORT
                :: phase != released && !report_lists_run && has_responded ->
#else
                :: phase != released && !report_lists_run && has_responded && is_poll_after_response ->
#endif
                    phase = released
                :: else -> skip
                fi
            :: else -> skip
            fi;
            report = 0
       }
    :: atomic { phase == released && !runs_elsewhere -> runs_elsewhere = true; assert(!has_run) }
    :: phase == released && runs_elsewhere && !is_start_in_transit -> break
    od
}
