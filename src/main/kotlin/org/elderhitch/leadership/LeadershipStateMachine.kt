package org.elderhitch.leadership

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import org.elderhitch.settings.NodeName
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.SteadyClock
import org.slf4j.LoggerFactory
import kotlin.time.Duration

/**
 * Implements the transitions between [LeadershipState.Follower] and [LeadershipState.Leader], based on the highest term
 * seen, the last renewal and the last freshness check. Performs no I/O. Not thread-safe.
 */
internal class LeadershipStateMachine(
    private val node: NodeName,
    private val timeouts: LeadershipTimeouts,
    private val clock: SteadyClock,
) {
    private val log = LoggerFactory.getLogger("elderhitch.leadership")
    private val current = MutableStateFlow<LeadershipState>(LeadershipState.Follower(null, Term.NONE))

    /**
     * The leader key as last read. Null if it is absent or malformed, or if it was this node's own and its term has
     * ended.
     */
    var storedLeader: StoredLeader? = null
        private set
    private var highestTerm = Term.NONE

    /** When the last successful freshness check was sent, as leader or follower. */
    private var freshAsOf = MonotonicInstant.NEVER

    /** When the last successful renewal of the current term was sent. */
    private var renewedAt = MonotonicInstant.NEVER

    val state: StateFlow<LeadershipState> = current

    val leader: LeadershipState.Leader? get() = current.value as? LeadershipState.Leader

    /** Returns the state of this node's leadership in [term], or null if that term has ended. */
    fun leaderOf(term: Term): LeadershipState.Leader? = leader?.takeIf { it.term == term }

    /** Records the value of the leader key, which is null if the key is absent or malformed. */
    fun observeLeader(stored: StoredLeader?) {
        storedLeader = stored
        stored?.let { observeTerm(it.record.term) }
        updateFollower()
    }

    /**
     * Records that a term numbered [term] or higher exists. A leader of a lower term steps down, even if its lease has
     * not expired. A version without token ranges may report one of this leader's own tokens as a term.
     */
    fun observeTerm(term: Term) {
        if (term > highestTerm) highestTerm = term
        val leader = leader ?: return
        if (term >= leader.nextTerm) stepDown("higher term $term seen")
    }

    /** Records that a freshness check sent at [instant] succeeded. */
    fun observeFreshness(instant: MonotonicInstant) {
        if (instant <= freshAsOf) return
        freshAsOf = instant
        updateCapabilities()
    }

    /** Starts the claimed term. Returns false and changes nothing if a higher term has been seen in the meantime. */
    fun startTerm(claim: ClaimOutcome.Won): Boolean {
        if (highestTerm > claim.term) {
            log.info("claim outdated term={} seen={}", claim.term, highestTerm)
            return false
        }
        highestTerm = claim.term
        val previous = claim.previousLeader?.node ?: "none"
        log.info("term started term={} node={} previous_leader={}", claim.term, node, previous)
        renewedAt = claim.sentAt
        val capabilities = timeouts.capabilities(renewedAt, freshAsOf)
        current.value = LeadershipState.Leader(
            claim.term,
            claim.termRevision,
            claim.lease,
            capabilities.commandWindowEnd,
            capabilities.answerWindowEnd,
            claim.previousLeader,
            clock.now(),
        )
        return true
    }

    /** Records that a renewal of the current term sent at [sentAt] succeeded. */
    fun recordRenewal(sentAt: MonotonicInstant) {
        renewedAt = sentAt
        updateCapabilities()
    }

    /** The time since the last successful freshness check was sent or the term was claimed, whichever is later. */
    fun staleness(leader: LeadershipState.Leader, now: MonotonicInstant): Duration =
        now - maxOf(freshAsOf, leader.claimedAt)

    /** Ends this leader's term and discards the leader key as last read, since the lease is lost or given up. */
    fun endTerm(reason: String) {
        storedLeader = null
        stepDown(reason)
    }

    private fun updateFollower() {
        if (leader != null) return
        val follower = LeadershipState.Follower(otherLeader(), storedLeader?.record?.term ?: highestTerm)
        if (follower == current.value) return
        log.info("following leader={} term={}", follower.leader ?: "none", follower.term)
        current.value = follower
    }

    private fun stepDown(reason: String) {
        val leader = leader ?: return
        log.info("term ended term={} reason=\"{}\"", leader.term, reason)
        current.value = LeadershipState.Follower(otherLeader(), highestTerm)
    }

    /** The stored leader, or null if the key was left behind by an earlier claim of this node. */
    private fun otherLeader(): NodeName? = storedLeader?.record?.node?.takeIf { it != node }

    private fun updateCapabilities() {
        val leader = leader ?: return
        val capabilities = timeouts.capabilities(renewedAt, freshAsOf)
        current.value = leader.copy(
            commandWindowEnd = capabilities.commandWindowEnd,
            answerWindowEnd = capabilities.answerWindowEnd,
        )
    }
}
