// # Protocol
//
// The declared workers of a service are its replicas. A key hashes to one of
// 64 slots. The group of a slot is five workers (or the greatest odd number
// available), chosen by rendezvous hash and spread over the zones. The node
// beside the worker that would run the request coordinates. It requests votes
// from the group in one round trip (round 0), and a majority allows the run.
// When several attempts split the votes, they continue by ballots as in Paxos
// (Lamport, 1998): a coordinator collects promises from a majority, checks
// whether a rival may have won, and requests votes again only if none can have.
// It never completes a rival's claim, as only the rival can run the request: the
// verdict is then busy. An attempt that is refused, cancelled or released
// notifies the replicas, which clear its vote. If both that message and the
// coordinator are lost, the key stays busy for its life, since it may have run.
//
// A key is recognised for KeyLife after its first submission. Records are
// retained for KeyLife, plus MaxClaim, plus a sixteenth of KeyLife. Callers must
// not send a key again after KeyLife: it would be a new request. A caller of
// Keeper.Claim must check its own deadline again right before it runs the
// request.
//
// # Replicas that have lost their votes
//
// Nothing is stored on disk, so a process starts without votes and must not vote
// until it has recovered those that its predecessor may have cast. It copies the
// slot's records from a majority of the group, not counting itself, that have
// all their votes: four of five must be up. Copying alone leaves a race: a vote
// given before the restart may be counted together with votes that others give
// after they were copied. So each process has an incarnation, greater than that
// of the process before. A source records the requester's incarnation before it
// replies, each vote carries the incarnations that the voter has seen, and votes
// of a process that another voter reports as replaced do not count. (Michael,
// Ports, Sharma and Szekeres, Recovering Shared Objects Without Stable Storage,
// DISC 2017.) This also covers a frozen process that resumes after another
// process has replaced it.
//
// # Loss of a majority
//
// If a majority of a group loses its votes at once, nothing shows which of its
// keys ran. Three ways were considered:
//
//   - Start afresh when all members report that they have no records. Rejected:
//     it runs a request twice after every failure of a whole group.
//   - Refuse until an operator confirms that no old key will be sent. Safe, but
//     a mass restart then blocks requests until an operator reacts.
//   - Refuse for as long as records are retained. Every lost vote has then
//     expired. Safe and needs no operator, but claims of the group are refused
//     for KeyLife. This is the default, and the reason for a KeyLife of only ten
//     minutes.
//
// The second way is available as Config.CopyOnly. It is also the one that is safe
// under the limits given below. Neither way would let a new fleet start at once,
// so Config.Since names a time before which no replica votes: a process that
// started at least ClockSkew before it has no earlier votes to lose. Since may
// stay in the settings permanently. After a total loss operators may move it
// forward, to a time after which no older key is sent again.
//
// # Changes of the declared workers
//
// A claim needs a majority of the current group and of the slot's group in every
// earlier configuration that is still required (a prior). Replicas vote only for
// coordinators with the same declared workers, and not for versions from before
// their own last change. So a majority of the earlier group that voted under the
// new configuration has left the old one for good. A prior is settled, and no
// longer required, once a majority of the slot's group has left it for longer
// than records are retained. Votes name the priors of the voter; a coordinator
// that lacks one of them fetches it before it continues. A process that starts
// under the new configuration recovers from the current group, or from that of
// the oldest prior while that cannot have been settled.
//
// Operators should keep a majority of a service's declared workers running for
// KeyLife after they replace them; otherwise claims are refused.
//
// # Limits
//
//   - With fewer than three declared workers there is no majority of others.
//     Recovery is by age alone, and two processes of one worker that run at the
//     same time, one of them cut off from the machine list, are not distinguished.
//   - Without CopyOnly: a majority of a group that started under a new
//     configuration, and was cut off from all processes of the earlier one for
//     KeyLife, cannot detect that there was an earlier one. If the earlier one is
//     still running, a key sent to both may run in both.
//   - Clocks: elapsed time may differ between nodes by a sixteenth. A machine
//     whose clock stops while it is suspended is not covered if it resumes
//     between a decision and the run; hence the caller's own check.
//   - A majority of the coordinator's own group must be reachable, and the
//     coordinator's node must have recovered itself, or the request is refused.
package claim
