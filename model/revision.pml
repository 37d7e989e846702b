/* The configuration revision in force at two entry VMs. They receive revisions from a store, which may respond with
   older data, and from each other.

   Bounds: four revisions, two entry VMs. The macro ACCEPT_OLDER disables the guard that rejects older revisions. */

#define LAST_REVISION 4

byte stored = 1;
byte in_force[2];
byte stale_reads[2];

proctype operator_changes() {
    do
    :: atomic { stored < LAST_REVISION -> stored++ }
    :: stored == LAST_REVISION -> break
    od
}

inline apply_revision(new_revision) {
    atomic {
        before = in_force[self];
#ifdef ACCEPT_OLDER
        in_force[self] = new_revision;
#else
        in_force[self] = (new_revision > in_force[self] -> new_revision : in_force[self]);
#endif
        assert(in_force[self] >= before);
        before = 0
    }
}

proctype entry_vm(byte self) {
    byte before, received;
end:
    do
    :: in_force[self] < LAST_REVISION || stale_reads[self] < 2 ->
       atomic {
        if
        :: received = stored
        :: stale_reads[self] < 2 && stored > 1 -> stale_reads[self]++; received = stored - 1
        :: received = in_force[1 - self]
        fi
       }
       apply_revision(received);
       received = 0
    od
}

init { atomic { run operator_changes(); run entry_vm(0); run entry_vm(1) } }
