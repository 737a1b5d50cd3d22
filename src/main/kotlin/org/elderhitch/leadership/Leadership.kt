package org.elderhitch.leadership

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.launch
import org.elderhitch.actor.Actor
import org.elderhitch.json.MalformedJson
import org.elderhitch.settings.NodeName
import org.elderhitch.store.CommitOutcome
import org.elderhitch.store.Condition
import org.elderhitch.store.Entry
import org.elderhitch.store.Keys
import org.elderhitch.store.LeaseId
import org.elderhitch.store.LeaseOutcome
import org.elderhitch.store.ReadOutcome
import org.elderhitch.store.RequestPriority
import org.elderhitch.store.Revision
import org.elderhitch.store.StateClient
import org.elderhitch.store.Write
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.SteadyClock
import org.slf4j.LoggerFactory
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Claims the lead in one conditional transaction that raises the permanent counter and puts the leased leader key, and
 * then renews the lease. The window runs from when a renewal was sent, so it ends here before the lease ends there; and
 * from when the last proof was
 * sent that this node's table lacks nothing, if that is older: a lease says who leads, not that its holder knows what
 * users were told.
 */
public class Leadership(
    scope: CoroutineScope,
    private val node: NodeName,
    private val incarnation: Incarnation,
    private val client: StateClient,
    private val times: LeadershipTimeouts,
    private val clock: SteadyClock,
    private val random: Random,
) : Actor<LeadershipMessage>(scope) {
    private val log = LoggerFactory.getLogger("elderhitch.leadership")
    private val state = MutableStateFlow<LeadershipState>(LeadershipState.Follower(null, Term.NONE))
    private var loaded = false
    private var leader: LeaderRecord? = null
    private var claiming = false
    private var highestSeen = Term.NONE
    private var notBefore = MonotonicInstant.NEVER

    /** When the last proof was sent that nothing is missing here, in whatever role. */
    private var proven = MonotonicInstant.NEVER

    /** When the last renewal of the present term that succeeded was sent. */
    private var renewed = MonotonicInstant.NEVER

    public val leadershipState: StateFlow<LeadershipState> = state

    private data class LeaderRecord(
        val node: NodeName,
        val incarnation: Incarnation,
        val term: Term,
        val version: Revision,
    )

    override fun receive(message: LeadershipMessage) {
        when (message) {
            is LeadershipMessage.LeaderObserved -> {
                loaded = true
                leader = message.entry?.let(::leaderRecord)
                leader?.let { observeTerm(it.term) }
                follow()
            }

            is LeadershipMessage.TermObserved -> observeTerm(message.term)

            is LeadershipMessage.Resign -> resign(message.reason)

            is LeadershipMessage.FreshAsOf -> if (message.since > proven) {
                proven = message.since
                entitle()
            }

            LeadershipMessage.RetryClaim -> Unit
        }
        maybeClaim()
    }

    private fun leaderRecord(entry: Entry): LeaderRecord? = try {
        LeaderRecord(
            NodeName(entry.value.string("node")),
            Incarnation(entry.value.string("run")),
            Term(entry.value.long("term")),
            entry.version,
        )
    } catch (e: MalformedJson) {
        log.error("leader key malformed reason=\"{}\"", e.message)
        null
    }

    private fun follow() {
        if (state.value is LeadershipState.Leader) return
        val record = leader
        val next = LeadershipState.Follower(record?.node?.takeIf { it != node }, record?.term ?: highestSeen)
        if (next != state.value) {
            log.info("following leader={} term={}", next.leader ?: "none", next.term)
            state.value = next
        }
    }

    /** A term above ours means that we lead no more, whatever our clock says. */
    private fun observeTerm(term: Term) {
        if (term > highestSeen) highestSeen = term
        val leadership = state.value as? LeadershipState.Leader ?: return
        if (term > leadership.term) stepDown("term $term seen")
    }

    private fun stepDown(reason: String) {
        val leadership = state.value as? LeadershipState.Leader ?: return
        log.info("term ended term={} reason=\"{}\"", leadership.term, reason)
        state.value = LeadershipState.Follower(leader?.node?.takeIf { it != node }, highestSeen)
    }

    private fun resign(reason: String) {
        val leadership = state.value as? LeadershipState.Leader ?: return
        notBefore = clock.now() + RESIGN_PAUSE
        leader = null
        stepDown(reason)
        scope.launch {
            client.end(leadership.lease)
            delay(RESIGN_PAUSE)
            tell(LeadershipMessage.RetryClaim)
        }
    }

    /**
     * Free to claim: nobody's key is there, or it is one that an earlier run or claim of this very node left behind.
     */
    private fun maybeClaim() {
        if (!loaded || claiming || state.value is LeadershipState.Leader || clock.now() < notBefore) return
        val record = leader
        if (record != null && record.node != node) return
        claiming = true
        scope.launch {
            try {
                // The nodes notice a free lead at the same moment; they should not all ask for it at once.
                if (record == null) delay(random.nextLong(CLAIM_SPREAD.inWholeMilliseconds).milliseconds)
                val now = leader
                if (now == null || now.node == node) claim(now)
            } finally {
                claiming = false
                if (state.value !is LeadershipState.Leader) {
                    scope.launch {
                        delay(CLAIM_RETRY)
                        tell(LeadershipMessage.RetryClaim)
                    }
                }
            }
        }
    }

    private suspend fun claim(old: LeaderRecord?) {
        val counter = when (val read = client.read(Keys.TERM, RequestPriority.LEADERSHIP)) {
            is ReadOutcome.Found -> read.entry
            ReadOutcome.Absent -> null
            ReadOutcome.Unavailable -> return
        }
        val before = counter?.let(::counterTerm) ?: Term.NONE
        val previousLeader = counter?.let(::formerLeader)
        val term = Term(before.number + 1)
        val sent = clock.now()
        val lease = (client.grant(times.commandWindow) as? LeaseOutcome.Held)?.lease ?: return
        val nonce = random.nextLong().toULong().toString(RADIX)
        val record = linkedMapOf("n" to term.number, "node" to node.text, "run" to incarnation.text, "claim" to nonce)
        val outcome = client.commit(
            listOf(
                Condition(Keys.TERM, counter?.version ?: Revision.ABSENT),
                Condition(Keys.LEADER, old?.version ?: Revision.ABSENT),
            ),
            listOf(
                Write.Put(Keys.TERM, record),
                Write.Put(
                    Keys.LEADER,
                    linkedMapOf("node" to node.text, "run" to incarnation.text, "term" to term.number),
                    lease,
                ),
            ),
            RequestPriority.LEADERSHIP,
        )
        val version = when (outcome) {
            is CommitOutcome.Committed -> outcome.revision

            // It may still be applied. Only the counter tells; and each claim has a mark of its own there.
            CommitOutcome.Unknown -> {
                val read = client.read(Keys.TERM, RequestPriority.LEADERSHIP) as? ReadOutcome.Found ?: return
                if (read.entry.value.raw("claim") != nonce) return
                read.entry.version
            }

            else -> {
                log.info("claim lost term={}", term)
                return
            }
        }
        won(term, version, lease, sent, previousLeader)
    }

    private fun won(
        term: Term,
        version: Revision,
        lease: LeaseId,
        sent: MonotonicInstant,
        previousLeader: PreviousLeader?,
    ) {
        if (highestSeen > term) {
            log.info("claim outdated term={} seen={}", term, highestSeen)
            return
        }
        highestSeen = term
        log.info("term begins term={} node={} former={}", term, node, previousLeader?.node ?: "none")
        renewed = sent
        val rights = times.capabilities(renewed, proven)
        state.value =
            LeadershipState.Leader(
                term,
                version,
                lease,
                rights.commandWindowEnd,
                rights.answerWindowEnd,
                previousLeader,
                clock.now(),
            )
        scope.launch { renew(term, lease) }
    }

    /** What a leader may do, anew from both proofs. */
    private fun entitle() {
        val leadership = state.value as? LeadershipState.Leader ?: return
        val rights = times.capabilities(renewed, proven)
        state.value =
            leadership.copy(commandWindowEnd = rights.commandWindowEnd, answerWindowEnd = rights.answerWindowEnd)
    }

    private suspend fun renew(term: Term, lease: LeaseId) {
        var pause = times.renewInterval
        while (true) {
            delay(pause)
            if ((state.value as? LeadershipState.Leader)?.term != term) return
            val sent = clock.now()
            val outcome = client.extend(lease)
            val leadership = state.value as? LeadershipState.Leader
            if (leadership?.term != term) return
            when (outcome) {
                is LeaseOutcome.Held -> {
                    if (clock.now() > leadership.commandWindowEnd) log.info("window renewed late term={}", term)
                    renewed = sent
                    entitle()
                    // It holds the lease, so nobody else can lead; and without knowing what is recorded it may do
                    // nothing itself.
                    if (sent - maxOf(proven, leadership.claimedAt) >
                        times.commandWindow * UNKNOWING_WINDOWS
                    ) {
                        tell(LeadershipMessage.Resign("nothing heard of what is recorded"))
                    }
                    pause = times.renewInterval
                }

                LeaseOutcome.Gone -> {
                    leader = null
                    stepDown("lease gone")
                    tell(LeadershipMessage.RetryClaim)
                    return
                }

                LeaseOutcome.Unavailable -> {
                    log.info(
                        "renewal failed term={} window_left_ms={}",
                        term,
                        (leadership.commandWindowEnd - clock.now()).inWholeMilliseconds,
                    )
                    pause = RENEW_RETRY
                }
            }
        }
    }

    private fun counterTerm(entry: Entry): Term = Term(entry.value.longOrNull("n") ?: 0)

    private fun formerLeader(entry: Entry): PreviousLeader? {
        val name = entry.value.stringOrNull("node") ?: return null
        val run = entry.value.stringOrNull("run") ?: return null
        return PreviousLeader(NodeName(name), Incarnation(run))
    }

    private companion object {
        const val RADIX = 36
        val CLAIM_SPREAD: Duration = 120.milliseconds
        val CLAIM_RETRY = 400.milliseconds
        val RENEW_RETRY = 300.milliseconds
        val RESIGN_PAUSE = 12.seconds

        /** Renewals that are answered while nothing else is, for so many windows, are no matter of chance. */
        const val UNKNOWING_WINDOWS = 2
    }
}
