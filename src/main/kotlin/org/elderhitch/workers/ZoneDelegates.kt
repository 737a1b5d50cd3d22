package org.elderhitch.workers

import org.elderhitch.delegates.Grant
import org.elderhitch.delegates.LeaseDelegate
import org.elderhitch.delegates.Named
import org.elderhitch.delegates.Promises
import org.elderhitch.delegates.ZoneStanding
import org.elderhitch.leadership.Tenure
import org.elderhitch.leadership.TenureTimes
import org.elderhitch.settings.NodeName
import org.elderhitch.settings.Zone
import org.elderhitch.time.Moment
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Lease delegates as the foreman has them: as a leader it names those of its zones, as a follower it may be one. */
internal class ZoneDelegates(
    private val own: NodeName,
    private val zoneOf: Map<NodeName, Zone>,
    times: TenureTimes,
    private val table: TaskTable,
    private val takeover: Takeover,
    private val roster: Roster,
    private val ports: ForemanPorts,
) {
    private val log = LoggerFactory.getLogger("elderhitch.workers")
    private val promises = Promises(times)
    private val zone = zoneOf[own] ?: Zone("")
    private val delegate = LeaseDelegate(zone)
    private var answering = false

    /** Nodes whose zone the settings don't tell; each is logged once. */
    private val homeless = HashSet<NodeName>()

    /** When each node last asked to be named: one that asks is not cut off, and answers nobody. */
    private val askedAt = HashMap<NodeName, Moment>()
    private val renewedBy = HashMap<Zone, Moment>()

    fun newTerm() {
        promises.newTerm()
        askedAt.clear()
        renewedBy.clear()
    }

    /** By when a lease delegate that this leader doesn't hear may last have answered workers of the zone; [Moment.NEVER]: none has been away. */
    fun renewedBy(zone: Zone): Moment = renewedBy[zone] ?: Moment.NEVER

    /** Called once a tick while this node leads. */
    fun listen(now: Moment) {
        for ((node, zone) in zoneOf) {
            if (node == own || now - (askedAt[node] ?: Moment.NEVER) < AWAY) continue
            val may = minOf(now, promises.lastAnswer(zone))
            if (may > renewedBy(zone)) renewedBy[zone] = may
        }
    }

    /** No lease delegate of this term answers a report that leaves a worker of the zone after that. */
    fun lastAnswer(zone: Zone): Moment = promises.lastAnswer(zone)

    /** A node asks, which the leader has thereby just heard from. Null: it is not named now. */
    fun name(leading: Tenure.Leading, node: NodeName, tableComplete: Boolean, now: Moment): Named? {
        val zone = zoneOf[node]
        if (zone == null) {
            if (homeless.add(node)) log.info("lease delegate refused node={} reason=\"of no zone\"", node)
            return null
        }
        askedAt[node] = now
        return if (tableComplete) promises.name(leading, zone, standing(zone), now) else null
    }

    private fun standing(zone: Zone): ZoneStanding {
        val ended = table.jobs.values.filter { job -> job.ended && job.everywhere().any { it.zone == zone } }
        val its = table.workers.values.filter { it.zone == zone }
        val unheard = takeover.hidingIn(zone, roster.known)?.let { hiding -> hiding + its.count { !it.settled } }
        return ZoneStanding(unheard, its.count { it.strangers.isNotEmpty() }, ended.minOfOrNull { it.endedAfter })
    }

    fun named(grant: Grant) = delegate.named(grant)

    fun follows(following: Tenure.Following) = delegate.sawTerm(following.term)

    /** Finds out early whether this node is cut off: a worker that is refused once comes back after half a lease. */
    fun watch(now: Moment) {
        delegate.grant?.takeIf { now < it.until }?.let { ports.cutOff(it.leader) }
    }

    /** What this node, which doesn't lead, answers to a report; null: it has no say in it. */
    fun answer(report: Report, now: Moment): ReportAnswer? {
        val term = delegate.answers(report.zone, report.term, ports::cutOff, now)
        if (report.zone == zone && answering != (term != null)) {
            answering = term != null
            if (answering) {
                log.info(
                    "lease delegate answers zone={} term={} left_ms={}",
                    zone,
                    term,
                    delegate.grant?.let {
                        (
                            it.until -
                                now
                            ).inWholeMilliseconds
                    },
                )
            } else {
                log.info("lease delegate rests zone={}", zone)
            }
        }
        if (term == null) return null
        // Of a job that isn't open here nothing is known for sure; of one that was seen to end, everything.
        val ended = report.tasks.filter {
            it.phase != TaskPhase.EXITED &&
                table.hasEnded(it.task.job, complete = false) == true
        }
        return ReportAnswer.Accepted(term, ended.map { task -> Command.Stop(task.task, task.attempt, Duration.ZERO) })
    }

    private companion object {
        /** Nodes ask about once a second. */
        val AWAY = 3.seconds
    }
}
