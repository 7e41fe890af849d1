// # Protocol
//
// The declared workers of a service are its replicas. A key hashes to one of
// 64 slots; the group of a slot is five workers (or the greatest odd number
// that there are) by rendezvous hash, spread over the zones. The node beside
// the worker that would run the request coordinates. It asks the group for
// votes in one round trip (round 0); a majority lets it run. When attempts
// split the votes they go on by ballots, as in Paxos (Lamport, 1998): a
// coordinator gets promises from a majority, sees whether a rival may have
// won, and only if none can have asks for votes again. It never completes a
// rival's claim, as only the rival can run it: then the verdict is busy. An
// attempt that is refused, cancelled or released tells the replicas, which
// drop its vote. If that message is lost as well as the coordinator, the key
// stays busy for its life: it may have run.
//
// A key is recognised for KeyLife after its first submission. Records are held
// for KeyLife, MaxClaim and a sixteenth. Callers must not send a key again
// after KeyLife: it would be a new request. A caller of Keeper.Claim must check
// its own deadline once more right before it runs the request.
//
// # Replicas that have forgotten
//
// Nothing is stored, so a process starts with no votes and must not vote until
// it knows what it may have voted for. It copies the slot's records from a
// majority of the group, itself not counted, that have lost nothing: four of
// five must be up. Copying alone leaves a race: a vote given before the restart
// may be counted together with votes that others give after they were copied.
// So each process has an incarnation, greater than that of the process before;
// a source notes the asker's incarnation before it answers; each vote carries
// the incarnations that the voter knows of, and votes of processes that
// another voter knows to be replaced do not count. (Michael, Ports, Sharma and
// Szekeres, Recovering Shared Objects Without Stable Storage, DISC 2017.) It
// also covers a frozen process that wakes after another took its place.
//
// # When nobody remembers
//
// If a majority of a group forgets at once, nothing can tell which of its keys
// ran. Three ways were weighed:
//
//   - Start afresh when all members say that they remember nothing. Refused:
//     it runs an order twice after every death of a whole group.
//   - Refuse until an operator says that no old key will come. Safe, but a
//     mass restart then stops orders until somebody is awake.
//   - Refuse for as long as records live. Then every vote lost is void. Safe
//     and needs nobody; claims of the group are refused for KeyLife. This is
//     the default, hence a modest KeyLife of ten minutes.
//
// The second way is there as Config.CopyOnly. It is the one that is safe under
// the limits given below too. Neither way would let a new fleet start at once,
// so Config.Since names a time before which nobody votes: a process that
// started before it, by ClockSkew at least, has lost nothing. It may stay in
// the settings for good. After a total loss operators may move it forward, to
// a time after which no older key is sent again.
//
// # Changes of the declared workers
//
// A claim needs a majority of the present group and of the group in every
// earlier configuration that still counts. Replicas vote only for coordinators
// with the same declared workers, and not for versions from before their own
// last change; so a majority of the earlier group that voted under the new
// configuration has left the old one for good. An earlier configuration counts
// until a majority of the slot's group has left it for longer than records
// live. Votes name the earlier configurations that the voter counts; a
// coordinator that does not know one learns it before it goes on. A process
// that starts under the new configuration recovers from the present group, or
// from the oldest earlier one while that can't have been settled.
//
// Operators should keep a majority of a service's declared workers running
// for KeyLife after they replace them; without it claims are refused.
//
// # Limits
//
//   - With fewer than three declared workers there is no majority of others.
//     Recovery is by age alone, and two processes of one worker that run at the
//     same time, one of them cut off from the machine list, are not told apart.
//   - Without CopyOnly: a majority of a group that started under a new
//     configuration, and was cut off from all processes of the earlier one for
//     KeyLife, does not know that there was an earlier one. If that still runs
//     elsewhere, a key sent to both may run in both.
//   - Clocks: elapsed time may differ between nodes by a sixteenth. A machine
//     whose clock stands still while it is suspended is not covered if it wakes
//     between a decision and the run; hence the caller's own check.
//   - A majority of the coordinator's own group must be reachable, and the
//     coordinator's node must have recovered itself, or the request is refused.
package claim
