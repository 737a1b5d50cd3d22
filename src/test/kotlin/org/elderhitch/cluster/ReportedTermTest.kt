package org.elderhitch.cluster

import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.protobuf.ProtoBuf
import org.elderhitch.delegates.DelegationGrant
import org.elderhitch.delegates.DelegationOffer
import org.elderhitch.http.Address
import org.elderhitch.http.Request
import org.elderhitch.http.Response
import org.elderhitch.jobs.Footprint
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.TerminalRecord
import org.elderhitch.lab.Network
import org.elderhitch.leadership.Incarnation
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.leadership.Term
import org.elderhitch.settings.NodeName
import org.elderhitch.settings.Peer
import org.elderhitch.settings.Zone
import org.elderhitch.store.LeaseId
import org.elderhitch.store.Revision
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.SteadyClock
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Tests the term that a controller reports: peers conclude from it that it answers no worker in an earlier one. */
@OptIn(ExperimentalSerializationApi::class)
class ReportedTermTest {
    private val peer = Peer(NodeName("n1"), Address("n1:81"), Zone("b"))

    private class FakePorts : ClusterPorts {
        var leadershipState: LeadershipState = LeadershipState.Follower(null, Term.NONE)
        var respectedTerm = Term.NONE

        override fun leadershipState(): LeadershipState = leadershipState

        override fun respectedTerm(): Term = respectedTerm

        override fun reachesStateService(): Boolean = true

        override fun runningTasks(): Map<JobId, Int> = emptyMap()

        override fun openJobsLimit(): Footprint = Footprint(1)

        override fun observeTerm(term: Term) = Unit

        override fun previousLeadersStopped(term: Term) = Unit

        override fun previousLeaderExited(term: Term) = Unit

        override suspend fun grantDelegation(node: NodeName): DelegationOffer? = null

        override fun delegationGranted(grant: DelegationGrant) = Unit

        override val maxDelegationDuration: Duration = 1.seconds

        override fun receiveTerminalStates(records: Map<JobId, TerminalRecord>) = Unit

        override fun receiveRunningCounts(counts: Map<JobId, Int>) = Unit

        override suspend fun serveUserRequest(request: Request): Response = error("not called")

        override suspend fun serveLeaderRequest(request: Request): Response = error("not called")
    }

    private suspend fun TestScope.termReportedBy(ports: FakePorts): Long {
        val clock = SteadyClock { MonotonicInstant(0) + 1000.seconds }
        val transport = Network(this, Random(1)) { null }.transport("n0")
        val cluster = Cluster(this, NodeName("n0"), Incarnation("run"), listOf(peer), transport, clock, ports)
        val question = PeerHeartbeat("n1", "run", term = 0, leading = false, reachesState = true)
        val body = ProtoBuf.encodeToByteArray(PeerHeartbeat.serializer(), question)
        val answer = cluster.handle(Request("POST", PeerHeartbeats.PATH, emptyMap(), body))
        return ProtoBuf.decodeFromByteArray(PeerHeartbeat.serializer(), answer.body).term
    }

    /** Otherwise the new leader may count leases as over that this node is about to renew in the earlier term. */
    @Test
    fun `a node that knows a new term reports it only once its answers to workers respect it`() = runTest {
        val ports = FakePorts()
        ports.respectedTerm = Term(1)
        ports.leadershipState = LeadershipState.Follower(peer.name, Term(2))
        assertEquals(1, termReportedBy(ports))
        ports.respectedTerm = Term(2)
        assertEquals(2, termReportedBy(ports))
    }

    @Test
    fun `a node does not take back a term when it follows the leader of an earlier one`() = runTest {
        val ports = FakePorts()
        ports.respectedTerm = Term(3)
        ports.leadershipState = LeadershipState.Follower(peer.name, Term(2))
        assertEquals(3, termReportedBy(ports))
    }

    @Test
    fun `a leader reports its own term`() = runTest {
        val ports = FakePorts()
        ports.respectedTerm = Term(2)
        val now = MonotonicInstant(0)
        ports.leadershipState = LeadershipState.Leader(Term(3), Revision(1), LeaseId(1), now, now, null, now)
        assertEquals(3, termReportedBy(ports))
    }
}
