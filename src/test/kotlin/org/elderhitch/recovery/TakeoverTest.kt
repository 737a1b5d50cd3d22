package org.elderhitch.recovery

import org.elderhitch.fleet.Catalog
import org.elderhitch.fleet.Machine
import org.elderhitch.fleet.MachineId
import org.elderhitch.fleet.TypeInfo
import org.elderhitch.heartbeat.LeaseTimeouts
import org.elderhitch.jobs.Image
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.JobKind
import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.MachineType
import org.elderhitch.jobs.Priority
import org.elderhitch.jobs.Resources
import org.elderhitch.leadership.Incarnation
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.leadership.LeadershipTimeouts
import org.elderhitch.leadership.PreviousLeader
import org.elderhitch.leadership.Term
import org.elderhitch.settings.NodeName
import org.elderhitch.settings.TeamName
import org.elderhitch.settings.WorkerTimeouts
import org.elderhitch.settings.Zone
import org.elderhitch.store.LeaseId
import org.elderhitch.store.Revision
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.SteadyClock
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Checks when a takeover settles, and which tasks may run unreported until then. */
class TakeoverTest {
    private var now = MonotonicInstant(0) + 100.seconds
    private val type = MachineType("g8")
    private val spot = Machine(MachineId("s"), type, Zone("a"), true)
    private val onDemand = Machine(MachineId("o"), type, Zone("b"), false)
    private val inventory = listOf(spot, onDemand).associateBy { it.id }
    private val catalog = Catalog(
        mapOf(
            type to
                TypeInfo(
                    type,
                    Resources(8.0, 1.0, 64.0),
                    50.0,
                    1.0,
                    1.0,
                    1.0,
                    Duration.ZERO,
                    listOf(Zone("a"), Zone("b")),
                ),
        ),
    )
    private val timeouts = WorkerTimeouts(1.seconds, 11.seconds, 45.seconds, 5.seconds, 41.seconds)
    private val takeover = Takeover(
        LeadershipTimeouts.of(timeouts),
        LeaseTimeouts(timeouts.lease),
        SteadyClock { now },
    ).apply {
        val previousLeader = PreviousLeader(NodeName("n0"), Incarnation("x"))
        begin(
            LeadershipState.Leader(
                Term(2),
                Revision(5),
                LeaseId(1),
                now + 4.seconds,
                now + 20.seconds,
                previousLeader,
                now,
            ),
        )
    }

    private fun spec(spotAllowed: Boolean, zone: Zone? = null) = JobSpec(
        JobId("req-1"), "class", TeamName("team"), JobKind.SERVICE, Priority.PRODUCTION, 2,
        Resources(4.0, 1.0, 30.0), null, zone, false, false, spotAllowed,
        Image("img"), 1.0, Duration.ZERO, Duration.ZERO, Duration.ZERO, null,
    )

    /**
     * Regression: all services of earlier terms waited four seconds for a report from one spot machine that was gone.
     */
    @Test
    fun `unreported tasks of a job are expected only on machines where the job may run`() {
        assertTrue(takeover.mayRunUnreported(spec(false), inventory, catalog), "the inventory is not loaded")
        takeover.expect(setOf(spot.id))
        assertFalse(takeover.mayRunUnreported(spec(false), inventory, catalog))
        assertTrue(takeover.mayRunUnreported(spec(true), inventory, catalog))
        assertFalse(takeover.mayRunUnreported(spec(true, Zone("b")), inventory, catalog))
        takeover.expect(setOf(spot.id, onDemand.id))
        assertTrue(takeover.mayRunUnreported(spec(false), inventory, catalog))
        assertTrue(
            takeover.mayRunUnreported(spec(false), emptyMap(), catalog),
            "a machine about which nothing is known may run any task",
        )
        assertFalse(
            takeover.mayRunUnreported(spec(true).copy(resources = Resources(32.0, 0.0, 56.0)), inventory, catalog),
            "the task is too large for both machines",
        )
        takeover.markAccounted(onDemand.id)
        assertFalse(takeover.mayRunUnreported(spec(false), inventory, catalog))
    }

    /**
     * A response to a machine that doesn't know the term yet renews the lease of tasks that an earlier term started.
     * Regression: a takeover that settled by elapsed time alone considered a machine empty that had sent a heartbeat
     * just before.
     */
    @Test
    fun `a takeover waits for leases that it renewed, but not for machines that receive no responses`() {
        takeover.expect(setOf(spot.id, onDemand.id))
        val maxLeaseTime = 4.seconds + LeadershipTimeouts.of(timeouts).answerGracePeriod + timeouts.lease
        val leasesEnd = now + maxLeaseTime * 1.001 + 500.milliseconds
        now = leasesEnd - 2.seconds
        assertFalse(takeover.refusesUnawareWorkers(now))
        takeover.recordHeartbeatAnswered(spot.id, now)
        now = leasesEnd + 1.milliseconds
        assertFalse(takeover.trySettle(), "the lease renewed two seconds ago is still valid")
        assertTrue(
            takeover.refusesUnawareWorkers(now),
            "a worker that still doesn't know the term is no longer answered",
        )
        now = leasesEnd - 2.seconds + timeouts.lease * 1.001 + 499.milliseconds
        assertFalse(takeover.trySettle())
        now += 2.milliseconds
        assertTrue(takeover.trySettle())
        assertFalse(takeover.refusesUnawareWorkers(now))
    }

    @Test
    fun `a takeover settles when all machines that may run tasks are accounted for`() {
        takeover.expect(setOf(spot.id))
        takeover.recordHeartbeatAnswered(spot.id, now)
        takeover.recordHeartbeatAnswered(onDemand.id, now)
        takeover.markAccounted(spot.id)
        assertTrue(takeover.trySettle(), "all machines that may run tasks have reported, whatever else was answered")
    }
}
