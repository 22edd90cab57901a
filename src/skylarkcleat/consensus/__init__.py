"""The replicated log of the control replicas, in the manner of Raft.

Each replica is one process with one data folder. A majority of the voters
elects a leader for a term; the leader appends commands to its log, sends the
entries to the other replicas, and commits an entry once a majority of the
voters has it on disk. Every replica applies committed entries in order to its
state machine. `replica` holds the protocol without input and output; `driver`
runs it on sockets, files and the clock.
"""
