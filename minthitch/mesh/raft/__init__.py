"""Raft consensus between the control nodes, as a deterministic core without I/O and without a clock.

The algorithm follows Ongaro's dissertation ("Consensus: Bridging Theory and Practice", 2014): leader
election (chapter 3), single-server membership changes (chapter 4), log compaction (chapter 5), pre-vote
(9.6), check-quorum and a leader lease (6.4.1), and leadership transfer (3.10). Names are those of the
dissertation.

`RaftNode` is the interface: each method that handles an event takes the current time and returns the
actions that the caller has to carry out. Each module implements one part of the algorithm:

| module | responsibility |
| --- | --- |
| `node` | `RaftNode`: events in, actions out |
| `member` | the state that all parts share: term, vote, role, commit index |
| `log`, `persistence` | the in-memory log; what must be durable before a message is sent |
| `election`, `election_timer` | pre-vote, candidacy, responses to candidates; the randomized timeout |
| `follower`, `leader` | the two sides of AppendEntries and InstallSnapshot |
| `progress`, `snapshot_transfer` | what a leader knows about one peer; one snapshot in transit |
| `leadership_transfer` | transferring leadership to another voter |
| `shutdown`, `shutdown_state` | stopping a process without losing data |
| `reconfiguration`, `membership`, `placement` | voter changes; pure functions that choose the next change |
| `messages`, `actions`, `errors` | messages between members and their wire format; requests to the caller |
"""
