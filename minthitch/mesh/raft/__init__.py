"""Raft consensus among the control nodes, as a core without I/O and without a clock.

The algorithm is that of Ongaro's dissertation ("Consensus: Bridging Theory and Practice", 2014): leader
election (chapter 3), membership changes by one server at a time (chapter 4), log compaction (chapter 5),
with pre-vote (9.6), check-quorum and a leader lease (6.4.1), and leadership transfer (3.10). Names are
those of the dissertation.

`RaftNode` is the interface; every method that takes an event takes the time with it and returns the actions
to carry out. One part of the algorithm has one module:

| module | job |
| --- | --- |
| `node` | `RaftNode`: events in, actions out |
| `member` | term, vote, role, commit index: the state that all parts share |
| `log`, `persistence` | the log in memory; what has to be durable before which message is sent |
| `election` | pre-vote, candidacy, answers to candidates |
| `follower`, `leader` | the two sides of AppendEntries and InstallSnapshot |
| `progress`, `snapshot_transfer` | what a leader knows of one peer; one snapshot on its way |
| `leadership_transfer`, `shutdown` | handing leadership over; ending a process without losing data |
| `reconfiguration`, `membership`, `placement` | changes of voters; the pure rules for which change is due |
| `messages`, `actions`, `errors` | messages between members with their wire form; what the caller has to do |
"""
