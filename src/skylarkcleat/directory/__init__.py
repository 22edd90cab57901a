"""The replicated directory: profiles, members, keeper shards and history.

Control replicas agree on a log of commands (`command`) and apply it to the
same state machine (`directory`). Every process polls a replica and keeps a
copy of the part that it needs (`view`); a copy may be acted on for a limited
time after a majority confirmed it (`freshness`). The leading replica also
proposes which members are dead and which agents are the keepers of each
shard, that is, hold the claims of its job ids (`duties`). Operators change
profiles through the admin API (`admin`).
"""
