package org.elderhitch.leadership

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.launch
import org.elderhitch.actor.Actor
import org.elderhitch.json.MalformedJson
import org.elderhitch.settings.NodeName
import org.elderhitch.store.Entry
import org.elderhitch.store.LeaseId
import org.elderhitch.store.LeaseOutcome
import org.elderhitch.store.Revision
import org.elderhitch.store.StateClient
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.SteadyClock
import org.slf4j.LoggerFactory
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Claims leadership whenever the leader key is absent, renews the leader's lease, and publishes the resulting
 * [leadershipState].
 *
 * The command and answer windows of a leader start when a renewal is *sent*, so they end on this node before the lease
 * expires in the state service. If the last successful freshness check was sent earlier than the renewal, they start
 * with that check: the lease shows only who leads, not that the leader has read everything that was recorded.
 */
public class Leadership(
    scope: CoroutineScope,
    private val node: NodeName,
    incarnation: Incarnation,
    private val client: StateClient,
    private val timeouts: LeadershipTimeouts,
    private val clock: SteadyClock,
    private val random: Random,
) : Actor<LeadershipMessage>(scope) {
    private val log = LoggerFactory.getLogger("elderhitch.leadership")
    private val stateMachine = LeadershipStateMachine(node, timeouts, clock)
    private val claim = LeadershipClaim(node, incarnation, client, timeouts.commandWindow, clock, random)

    /** Whether the leader key has been read at least once; this node makes no claim before. */
    private var hasReadLeaderKey = false
    private var isClaiming = false

    /** Set on resignation, so that other nodes can claim leadership first. */
    private var earliestClaimAt = MonotonicInstant.NEVER

    public val leadershipState: StateFlow<LeadershipState> = stateMachine.state

    override fun receive(message: LeadershipMessage) {
        when (message) {
            is LeadershipMessage.LeaderObserved -> {
                hasReadLeaderKey = true
                stateMachine.observeLeader(message.entry?.let(::decodeStoredLeader))
            }

            is LeadershipMessage.TermObserved -> stateMachine.observeTerm(message.term)

            is LeadershipMessage.Resign -> resign(message.reason)

            is LeadershipMessage.FreshnessConfirmed -> stateMachine.observeFreshness(message.instant)

            LeadershipMessage.RetryClaim -> Unit
        }
        claimIfVacant()
    }

    private fun decodeStoredLeader(entry: Entry): StoredLeader? = try {
        StoredLeader(LeadershipCodec.decodeLeader(entry.value), entry.version)
    } catch (e: MalformedJson) {
        log.error("leader key malformed reason=\"{}\"", e.message)
        null
    }

    private fun resign(reason: String) {
        val leader = stateMachine.leader ?: return
        earliestClaimAt = clock.now() + RESIGNATION_PAUSE
        stateMachine.endTerm(reason)
        scope.launch {
            client.revokeLease(leader.lease)
            delay(RESIGNATION_PAUSE)
            tell(LeadershipMessage.RetryClaim)
        }
    }

    private fun claimIfVacant() {
        if (!mayClaim() || !isVacant(stateMachine.storedLeader)) return
        isClaiming = true
        scope.launch {
            try {
                claimAfterJitter()
            } finally {
                isClaiming = false
                if (stateMachine.leader == null) scheduleClaimRetry()
            }
        }
    }

    private fun mayClaim(): Boolean {
        val isIdle = !isClaiming && stateMachine.leader == null
        return hasReadLeaderKey && isIdle && clock.now() >= earliestClaimAt
    }

    /** Whether the leader key is absent, or was left behind by an earlier incarnation or claim of this node. */
    private fun isVacant(stored: StoredLeader?): Boolean = stored == null || stored.record.node == node

    /** All nodes see the leader key disappear at about the same time; a random delay spreads their claims. */
    private suspend fun claimAfterJitter() {
        if (stateMachine.storedLeader == null) {
            delay(random.nextLong(MAX_CLAIM_JITTER.inWholeMilliseconds).milliseconds)
        }
        val stored = stateMachine.storedLeader
        if (!isVacant(stored)) return
        when (val outcome = claim.claim(stored?.revision ?: Revision.ABSENT)) {
            is ClaimOutcome.Won -> startTerm(outcome)
            is ClaimOutcome.Lost -> log.info("claim lost term={}", outcome.term)
            ClaimOutcome.Unavailable -> Unit
        }
    }

    private fun scheduleClaimRetry() {
        scope.launch {
            delay(CLAIM_RETRY_DELAY)
            tell(LeadershipMessage.RetryClaim)
        }
    }

    private fun startTerm(claim: ClaimOutcome.Won) {
        if (!stateMachine.startTerm(claim)) return
        scope.launch { renewWhileLeading(claim.term, claim.lease) }
    }

    private suspend fun renewWhileLeading(term: Term, lease: LeaseId) {
        var nextDelay = timeouts.renewInterval
        while (true) {
            delay(nextDelay)
            if (stateMachine.leaderOf(term) == null) return
            val sentAt = clock.now()
            val outcome = client.renewLease(lease)
            val leader = stateMachine.leaderOf(term) ?: return
            nextDelay = when (outcome) {
                is LeaseOutcome.Held -> {
                    recordRenewal(leader, sentAt)
                    timeouts.renewInterval
                }

                LeaseOutcome.Gone -> {
                    stateMachine.endTerm("lease gone")
                    tell(LeadershipMessage.RetryClaim)
                    return
                }

                LeaseOutcome.Unavailable -> {
                    logFailedRenewal(leader)
                    RENEWAL_RETRY_DELAY
                }
            }
        }
    }

    private fun recordRenewal(leader: LeadershipState.Leader, sentAt: MonotonicInstant) {
        if (clock.now() > leader.commandWindowEnd) log.info("command window renewed late term={}", leader.term)
        stateMachine.recordRenewal(sentAt)
        // No other node can lead while this one holds the lease, and without freshness checks this one may not act.
        if (stateMachine.staleness(leader, sentAt) > timeouts.commandWindow * MAX_STALE_WINDOWS) {
            tell(LeadershipMessage.Resign("freshness checks fail"))
        }
    }

    private fun logFailedRenewal(leader: LeadershipState.Leader) {
        val windowLeft = leader.commandWindowEnd - clock.now()
        log.info("renewal failed term={} window_left_ms={}", leader.term, windowLeft.inWholeMilliseconds)
    }

    private companion object {
        val MAX_CLAIM_JITTER = 120.milliseconds
        val CLAIM_RETRY_DELAY = 400.milliseconds
        val RENEWAL_RETRY_DELAY = 300.milliseconds
        val RESIGNATION_PAUSE = 12.seconds

        /**
         * A leader whose renewals succeed resigns after this many command windows without a successful freshness check.
         * That is too long to be explained by the random loss of a few responses.
         */
        const val MAX_STALE_WINDOWS = 2
    }
}
