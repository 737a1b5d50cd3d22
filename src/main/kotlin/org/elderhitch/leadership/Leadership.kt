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
 * A leader's windows are counted from when a renewal was *sent*, so they end here before its lease ends in the state
 * service. They are also counted from when the last successful freshness check was sent, if that is older: the lease
 * says who leads, and not that the leader knows all that was recorded.
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

    /** Whether the leader key has been read at all: nothing is claimed before. */
    private var leaderKeyKnown = false
    private var claiming = false

    /** After a resignation other nodes get a chance first. */
    private var noClaimBefore = MonotonicInstant.NEVER

    public val leadershipState: StateFlow<LeadershipState> = stateMachine.state

    override fun receive(message: LeadershipMessage) {
        when (message) {
            is LeadershipMessage.LeaderObserved -> {
                leaderKeyKnown = true
                stateMachine.observeLeader(message.entry?.let(::storedLeader))
            }

            is LeadershipMessage.TermObserved -> stateMachine.observeTerm(message.term)

            is LeadershipMessage.Resign -> resign(message.reason)

            is LeadershipMessage.FreshAsOf -> stateMachine.observeFreshness(message.instant)

            LeadershipMessage.RetryClaim -> Unit
        }
        claimIfFree()
    }

    private fun storedLeader(entry: Entry): StoredLeader? = try {
        StoredLeader(LeadershipCodec.decodeLeader(entry.value), entry.version)
    } catch (e: MalformedJson) {
        log.error("leader key malformed reason=\"{}\"", e.message)
        null
    }

    private fun resign(reason: String) {
        val leader = stateMachine.leader ?: return
        noClaimBefore = clock.now() + RESIGN_PAUSE
        stateMachine.endTerm(reason)
        scope.launch {
            client.revokeLease(leader.lease)
            delay(RESIGN_PAUSE)
            tell(LeadershipMessage.RetryClaim)
        }
    }

    private fun claimIfFree() {
        if (!mayClaim() || !isFree(stateMachine.storedLeader)) return
        claiming = true
        scope.launch {
            try {
                claimAfterSpread()
            } finally {
                claiming = false
                if (stateMachine.leader == null) retryClaimLater()
            }
        }
    }

    private fun mayClaim(): Boolean {
        val idle = !claiming && stateMachine.leader == null
        return leaderKeyKnown && idle && clock.now() >= noClaimBefore
    }

    /** The leader key is absent, or an earlier incarnation or claim of this very node left it behind. */
    private fun isFree(stored: StoredLeader?): Boolean = stored == null || stored.record.node == node

    /** All nodes notice at the same moment that the leader key is gone: a random pause spreads their claims. */
    private suspend fun claimAfterSpread() {
        if (stateMachine.storedLeader == null) {
            delay(random.nextLong(CLAIM_SPREAD.inWholeMilliseconds).milliseconds)
        }
        val stored = stateMachine.storedLeader
        if (!isFree(stored)) return
        when (val outcome = claim.claim(stored?.revision ?: Revision.ABSENT)) {
            is ClaimOutcome.Won -> startTerm(outcome)
            is ClaimOutcome.Lost -> log.info("claim lost term={}", outcome.term)
            ClaimOutcome.Unavailable -> Unit
        }
    }

    private fun retryClaimLater() {
        scope.launch {
            delay(CLAIM_RETRY)
            tell(LeadershipMessage.RetryClaim)
        }
    }

    private fun startTerm(claim: ClaimOutcome.Won) {
        if (!stateMachine.startTerm(claim)) return
        scope.launch { renewWhileLeading(claim.term, claim.lease) }
    }

    private suspend fun renewWhileLeading(term: Term, lease: LeaseId) {
        var pause = timeouts.renewInterval
        while (true) {
            delay(pause)
            if (stateMachine.leaderOf(term) == null) return
            val sentAt = clock.now()
            val outcome = client.renewLease(lease)
            val leader = stateMachine.leaderOf(term) ?: return
            pause = when (outcome) {
                is LeaseOutcome.Held -> {
                    renewed(leader, sentAt)
                    timeouts.renewInterval
                }

                LeaseOutcome.Gone -> {
                    stateMachine.endTerm("lease gone")
                    tell(LeadershipMessage.RetryClaim)
                    return
                }

                LeaseOutcome.Unavailable -> {
                    logFailedRenewal(leader)
                    RENEW_RETRY
                }
            }
        }
    }

    private fun renewed(leader: LeadershipState.Leader, sentAt: MonotonicInstant) {
        if (clock.now() > leader.commandWindowEnd) log.info("command window renewed late term={}", leader.term)
        stateMachine.renewed(sentAt)
        // While it holds the lease nobody else can lead, and without a freshness check it may not act itself.
        if (stateMachine.staleness(leader, sentAt) > timeouts.commandWindow * MAX_STALE_WINDOWS) {
            tell(LeadershipMessage.Resign("freshness checks fail"))
        }
    }

    private fun logFailedRenewal(leader: LeadershipState.Leader) {
        val windowLeft = leader.commandWindowEnd - clock.now()
        log.info("renewal failed term={} window_left_ms={}", leader.term, windowLeft.inWholeMilliseconds)
    }

    private companion object {
        val CLAIM_SPREAD = 120.milliseconds
        val CLAIM_RETRY = 400.milliseconds
        val RENEW_RETRY = 300.milliseconds
        val RESIGN_PAUSE = 12.seconds

        /**
         * A leader whose renewals succeed while no freshness check does resigns after so many command windows: that is
         * no chance loss of a few answers.
         */
        const val MAX_STALE_WINDOWS = 2
    }
}
