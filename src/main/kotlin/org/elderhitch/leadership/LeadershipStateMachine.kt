package org.elderhitch.leadership

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import org.elderhitch.settings.NodeName
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.SteadyClock
import org.slf4j.LoggerFactory
import kotlin.time.Duration

/**
 * The transitions between [LeadershipState.Follower] and [LeadershipState.Leader], and what they are decided by: the
 * highest term seen, the last renewal and the last freshness check. It makes no requests. Not safe for concurrent use.
 */
internal class LeadershipStateMachine(
    private val node: NodeName,
    private val timeouts: LeadershipTimeouts,
    private val clock: SteadyClock,
) {
    private val log = LoggerFactory.getLogger("elderhitch.leadership")
    private val current = MutableStateFlow<LeadershipState>(LeadershipState.Follower(null, Term.NONE))

    /** The leader key as last seen; null: it is absent, can't be read, or was this node's own of a term that ended. */
    var storedLeader: StoredLeader? = null
        private set
    private var highestTerm = Term.NONE

    /** When the last successful freshness check was sent, in whatever role. */
    private var freshAsOf = MonotonicInstant.NEVER

    /** When the last successful renewal of the present term was sent. */
    private var renewedAt = MonotonicInstant.NEVER

    val state: StateFlow<LeadershipState> = current

    val leader: LeadershipState.Leader? get() = current.value as? LeadershipState.Leader

    /** The present leadership if it is that of [term]; null: that term is over. */
    fun leaderOf(term: Term): LeadershipState.Leader? = leader?.takeIf { it.term == term }

    /** The leader key has this value now; null: it is absent or can't be read. */
    fun observeLeader(stored: StoredLeader?) {
        storedLeader = stored
        stored?.let { observeTerm(it.record.term) }
        follow()
    }

    /** A term above this leader's own ends its term, even if its lease has not run out by its clock. */
    fun observeTerm(term: Term) {
        if (term > highestTerm) highestTerm = term
        val leader = leader ?: return
        if (term > leader.term) stepDown("term $term seen")
    }

    /** A freshness check that was sent at [instant] succeeded. */
    fun observeFreshness(instant: MonotonicInstant) {
        if (instant <= freshAsOf) return
        freshAsOf = instant
        updateCapabilities()
    }

    /** Starts the term of a claim. False: a higher term has been seen meanwhile, and nothing changes. */
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

    /** A renewal of the present term that was sent at [sentAt] succeeded. */
    fun renewed(sentAt: MonotonicInstant) {
        renewedAt = sentAt
        updateCapabilities()
    }

    /** How long before [now] the last successful freshness check of this term was sent, or else the term claimed. */
    fun staleness(leader: LeadershipState.Leader, now: MonotonicInstant): Duration =
        now - maxOf(freshAsOf, leader.claimedAt)

    /** Ends this leader's term and forgets the leader key that it had seen: its lease is gone or given up. */
    fun endTerm(reason: String) {
        storedLeader = null
        stepDown(reason)
    }

    private fun follow() {
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

    /** The stored leader, unless an earlier claim of this node left it behind. */
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
