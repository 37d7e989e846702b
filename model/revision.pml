/* The configuration revision in force at two entry VMs. They receive revisions from a store, which may respond with
   older data, and from each other.

   Bounds: four revisions, two entry VMs. The macro ACCEPT_OLDER disables the guard that rejects older revisions. */

#define LAST 4

byte stored = 1;
byte in_force[2];
byte own_stale[2];

proctype operator_changes() {
    do
    :: atomic { stored < LAST -> stored++ }
    :: stored == LAST -> break
    od
}

inline learn(learned) {
    atomic {
        before = in_force[me];
#ifdef ACCEPT_OLDER
        in_force[me] = learned;
#else
        in_force[me] = (learned > in_force[me] -> learned : in_force[me]);
#endif
        assert(in_force[me] >= before);
        before = 0
    }
}

proctype entry_vm(byte me) {
    byte before, received;
end:
    do
    :: in_force[me] < LAST || own_stale[me] < 2 ->
       atomic {
        if
        :: received = stored
        :: own_stale[me] < 2 && stored > 1 -> own_stale[me]++; received = stored - 1
        :: received = in_force[1 - me]
        fi
       }
       learn(received);
       received = 0
    od
}

init { atomic { run operator_changes(); run entry_vm(0); run entry_vm(1) } }
