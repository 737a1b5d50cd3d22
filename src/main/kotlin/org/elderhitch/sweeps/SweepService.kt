package org.elderhitch.sweeps

import org.elderhitch.features.FeatureContext
import org.elderhitch.http.HttpServer
import org.elderhitch.http.Request
import org.elderhitch.http.Response
import org.elderhitch.json.Json
import org.elderhitch.json.JsonObject
import org.elderhitch.json.MalformedJson
import org.elderhitch.store.Revision
import org.slf4j.LoggerFactory

/** The HTTP interface of sweeps, `/sweeps/…`. */
internal class SweepService(
    private val settings: SweepsSettings,
    private val sweepRegistry: SweepRegistry,
    private val descriptionStore: DescriptionStore,
    private val sweepWriter: SweepWriter,
    private val validator: SweepValidator,
    private val context: FeatureContext,
    private val valueBytes: Int,
) {
    private val log = LoggerFactory.getLogger("elderhitch.sweeps")

    suspend fun handle(request: Request): Response = try {
        val segments = request.path.removePrefix("/sweeps").split('/').filter { it.isNotEmpty() }
        if (segments.isEmpty()) {
            HttpServer.requireMethod("GET", request) { list(request.query["after"]) }
        } else {
            val id =
                SweepId.parse(segments[0])
                    ?: throw MalformedJson("the name of a sweep must be 4 to 24 lowercase letters and digits")
            sweep(id, segments.drop(1), request)
        }
    } catch (e: MalformedJson) {
        HttpServer.errorResponse(BAD_REQUEST, e.message.orEmpty())
    } catch (e: BadTemplate) {
        HttpServer.errorResponse(BAD_REQUEST, e.message.orEmpty())
    }

    private suspend fun sweep(id: SweepId, subpath: List<String>, request: Request): Response = when {
        subpath.isEmpty() && request.method == "POST" -> accept(id, Json.parseObject(request.body))

        subpath.isEmpty() -> HttpServer.requireMethod("GET", request) { withSweep(id) { ok(details(it)) } }

        subpath.size == 2 && subpath[0] == "part" -> HttpServer.requireMethod("POST", request) {
            putPart(id, subpath[1].toIntOrNull(), Json.parseObject(request.body))
        }

        subpath == listOf("points") -> HttpServer.requireMethod("GET", request) {
            withSweep(id) { points(it, request.query) }
        }

        subpath.size == 2 && subpath[0] == "points" -> HttpServer.requireMethod("GET", request) {
            withSweep(id) { point(it, subpath[1].toIntOrNull()) }
        }

        subpath == listOf("withdraw") -> HttpServer.requireMethod("POST", request) {
            withSweep(id) {
                cancel(
                    it,
                    if (request.body.isEmpty()) {
                        JsonObject.of(
                            emptyMap<String, Any>(),
                        )
                    } else {
                        Json.parseObject(request.body)
                    },
                )
            }
        }

        else -> HttpServer.errorResponse(NOT_FOUND, "no such path")
    }

    /** Synchronizes with the state service first, so that a sweep recorded by another node is not answered with 404. */
    private suspend fun withSweep(id: SweepId, answer: suspend (SweepState) -> Response): Response {
        if (!context.sync()) return unavailable("the state service doesn't answer")
        return sweepRegistry.of(id)?.let { answer(it) } ?: HttpServer.errorResponse(NOT_FOUND, "no such sweep")
    }

    private suspend fun putPart(id: SweepId, number: Int?, body: JsonObject): Response {
        if (number == null || number !in 0 until Parts.MAX) {
            throw MalformedJson("part: not from 0 to ${Parts.MAX - 1}")
        }
        return when (descriptionStore.putPart(id, number, body.string("data"))) {
            DescriptionStore.PutResult.STORED -> ok(mapOf("part" to number))

            DescriptionStore.PutResult.CONFLICT -> HttpServer.errorResponse(
                CONFLICT,
                "another part $number is stored under this name: choose another name for the sweep",
            )

            DescriptionStore.PutResult.TOO_LARGE -> HttpServer.errorResponse(
                BAD_REQUEST,
                "data: a part's value may have at most $valueBytes bytes",
            )

            DescriptionStore.PutResult.UNAVAILABLE -> unavailable("the state service accepts no writes now")
        }
    }

    /**
     * A sweep is accepted once its manifest is stored. A repeated submission of an accepted sweep succeeds without
     * being validated again.
     */
    private suspend fun accept(id: SweepId, body: JsonObject): Response {
        val parts = body.count("parts").toInt()
        val sum = body.string("sum")
        if (parts !in 1..Parts.MAX) throw MalformedJson("parts: not from 1 to ${Parts.MAX}")
        if (!context.sync()) return unavailable("the state service doesn't answer")
        sweepRegistry.of(id)?.let { return repeated(it, sum) }
        return when (val read = descriptionStore.readParts(id, parts)) {
            is PartsResult.Complete -> if (Description.sum(read.bytes) == sum) {
                accept(id, body, read)
            } else {
                HttpServer.errorResponse(CONFLICT, "the checksum of the parts is not $sum")
            }

            is PartsResult.Missing -> HttpServer.errorResponse(CONFLICT, "part ${read.part} is missing")

            PartsResult.Unavailable -> unavailable("the state service doesn't answer")
        }
    }

    private suspend fun accept(id: SweepId, body: JsonObject, packed: PartsResult.Complete): Response {
        val description = Description.unpack(packed.bytes)
        val dry = body.booleanOrNull("dry") ?: false
        return when (val validation = validator.check(id, description)) {
            is ValidationResult.Refused -> refused(validation)

            is ValidationResult.Unavailable -> unavailable(validation.reason)

            is ValidationResult.Valid -> if (dry) {
                ok(estimate(id, description, validation))
            } else {
                val parts = body.count("parts").toInt()
                record(id, parts, body.string("sum"), packed.firstPart, description, validation)
            }
        }
    }

    private fun refused(validation: ValidationResult.Refused): Response {
        val body = linkedMapOf(
            "error" to validation.reason,
            "bad_count" to validation.malformedCount,
            "bad" to validation.malformed.map(::encode),
        )
        return Response(BAD_REQUEST, Json.bytes(body))
    }

    private fun repeated(state: SweepState, sum: String): Response = if (state.manifest.sum == sum) {
        ok(details(state))
    } else {
        HttpServer.errorResponse(CONFLICT, "another sweep has the name ${state.id}")
    }

    private suspend fun record(
        id: SweepId,
        parts: Int,
        sum: String,
        firstPart: Revision,
        description: Description,
        validation: ValidationResult.Valid,
    ): Response {
        if (sweepRegistry.all.count { it.open > 0 } >= settings.maxOpenSweeps) {
            return Response(
                SERVICE_UNAVAILABLE,
                Json.bytes(mapOf("error" to "${settings.maxOpenSweeps} sweeps are open")),
                mapOf("Retry-After" to "10"),
            )
        }
        val manifest =
            Manifest(
                description.points.count,
                parts,
                sum,
                validation.firstJob.team.text,
                validation.firstJob.jobClass,
                context.wallClock.now(),
                validator.packSkipped(validation.skipped),
            )
        if (Json.bytes(manifest.encode()).size > valueBytes) {
            return HttpServer.errorResponse(
                BAD_REQUEST,
                "too many scattered malformed points to record as skipped: ${validation.malformedCount}",
            )
        }
        val accepted =
            sweepWriter.recordManifest(id, manifest, firstPart)
                ?: return unavailable("the state service accepts no writes now")
        if (!accepted.isNew) return repeated(accepted.state, sum)
        log.info(
            "sweep accepted sweep={} points={} skipped={} team={} class={}",
            id,
            manifest.points,
            validation.malformedCount,
            manifest.team,
            manifest.jobClass,
        )
        return Response(
            CREATED,
            Json.bytes(
                details(accepted.state) +
                    mapOf("bad_count" to validation.malformedCount, "bad" to validation.malformed.map(::encode)),
            ),
        )
    }

    private fun encode(malformed: MalformedPoint): Map<String, Any?> = linkedMapOf(
        "row" to malformed.row,
        "column" to malformed.column,
        "reason" to malformed.reason,
    )

    /** The answer to a dry run: what submitting the sweep would amount to. */
    private fun estimate(id: SweepId, description: Description, validation: ValidationResult.Valid): Map<String, Any?> {
        val validPoints = (0 until description.points.count).filter { it !in validation.skipped }
        val team = context.settings.teams[validation.firstJob.team]
        val tasksByGpus = team?.maxGpus?.let { limit ->
            validation.firstJob.resources.gpus.takeIf { it > 0 }?.let { (limit / it).toInt() }
        }
        val tasksByCpus = team?.maxCpus?.let { limit ->
            validation.firstJob.resources.cpus.takeIf { it > 0 }?.let { (limit / it).toInt() }
        }
        return linkedMapOf(
            "sweep" to id.text, "points" to description.points.count, "skipped" to validation.malformedCount,
            "bad" to validation.malformed.map(::encode), "tasks" to validation.tasks,
            "first" to description.body(id, validPoints.first()), "last" to description.body(id, validPoints.last()),
            "at_once" to description.atOnce,
            "team_limit_tasks" to listOfNotNull(tasksByGpus, tasksByCpus).minOrNull(),
            "task_hours" to Math.rint(validation.taskSeconds / SECONDS_PER_HUNDREDTH_HOUR) / HUNDREDTHS,
        ).filterValues { it != null }
    }

    private fun list(after: String?): Response {
        val all = sweepRegistry.all.sortedBy { it.id.text }.filter { after == null || it.id.text > after }
        val page = all.take(SWEEPS_PER_PAGE)
        return ok(linkedMapOf("sweeps" to page.map { summary(it) }, "more" to (all.size > page.size)))
    }

    private fun summary(state: SweepState): Map<String, Any?> = linkedMapOf(
        "sweep" to state.id.text, "points" to state.points, "done" to state.done, "withdrawn" to state.cancelled,
        "skipped" to state.skippedCount,
        "open" to state.open, "team" to state.manifest.team, "class" to state.manifest.jobClass,
        "accepted" to state.manifest.at.toString(),
    )

    private fun details(state: SweepState): Map<String, Any?> {
        val work = state.work
        return summary(state) + linkedMapOf(
            "sum" to state.manifest.sum,
            "account" to linkedMapOf(
                "completed" to work.completed, "attempts" to work.attempts, "lost" to work.lost,
                "useful_s" to hundredths(work.usefulS), "lost_s" to hundredths(work.lostS),
                "lower_bounds" to work.least, "p50_s" to work.percentile(P50), "p90_s" to work.percentile(P90),
                "p99_s" to work.percentile(P99),
            ).filterValues { it != null },
        )
    }

    private fun hundredths(seconds: Double): Double = Math.rint(seconds * HUNDREDTHS) / HUNDREDTHS

    private fun stateOf(state: SweepState, point: Int): String = state.endOf(point)?.name?.lowercase() ?: if (
        context.runningTasks(state.id.point(point)) > 0
    ) {
        "running"
    } else {
        "open"
    }

    private suspend fun points(state: SweepState, query: Map<String, String>): Response {
        val wantedState = query["state"]
        if (wantedState != null && wantedState !in STATES) throw MalformedJson("state: must be one of $STATES")
        val after = query["after"]?.let { it.toIntOrNull() ?: throw MalformedJson("after: not a number") } ?: -1
        val count =
            query["count"]?.let {
                it.toIntOrNull()?.takeIf { n -> n in 1..MAX_POINTS_PER_PAGE }
                    ?: throw MalformedJson("count: not from 1 to $MAX_POINTS_PER_PAGE")
            }
                ?: MAX_POINTS_PER_PAGE
        if (wantedState == FAILED) return failed(state, after, count)
        val matching = (after + 1 until state.points).asSequence().map { it to stateOf(state, it) }.filter {
            wantedState ==
                null ||
                it.second == wantedState
        }.take(count + 1).toList()
        return ok(
            linkedMapOf(
                "points" to matching.take(count).map { (point, pointState) -> entry(state, point, pointState) },
                "more" to (matching.size > count),
            ),
        )
    }

    /** Open points that failed wherever they were tried: most likely the fault is in the points themselves. */
    private suspend fun failed(state: SweepState, after: Int, count: Int): Response {
        val failing = context.faultyJobs() ?: return unavailable("no leader answers")
        val points = failing.mapNotNull { job ->
            SweepId.ofPoint(job)?.takeIf { it.first == state.id }?.second
        }.filter {
            it >
                after &&
                state.endOf(it) == null
        }.sorted()
        return ok(
            linkedMapOf(
                "points" to points.take(count).map { entry(state, it, FAILED) },
                "more" to (points.size > count),
            ),
        )
    }

    private fun entry(state: SweepState, point: Int, pointState: String): Map<String, Any?> = linkedMapOf(
        "point" to point,
        "id" to state.id.point(point).text,
        "state" to pointState,
    )

    private suspend fun point(state: SweepState, point: Int?): Response {
        if (point == null || point !in 0 until state.points) return HttpServer.errorResponse(NOT_FOUND, "no such point")
        val description = descriptionStore.read(state) ?: return unavailable("the description can't be read now")
        val body = try {
            description.body(state.id, point)
        } catch (e: BadPoint) {
            return ok(
                linkedMapOf(
                    "point" to point,
                    "state" to stateOf(state, point),
                    "error" to "${e.column}: ${e.reason}",
                ),
            )
        }
        return ok(
            linkedMapOf(
                "point" to point,
                "id" to state.id.point(point).text,
                "state" to stateOf(state, point),
                "job" to body,
            ),
        )
    }

    private suspend fun cancel(state: SweepState, body: JsonObject): Response {
        val from = body.longOrNull("from") ?: 0
        val to = body.longOrNull("to") ?: (state.points - 1L)
        if (from < 0 || to < from || from >= state.points) {
            throw MalformedJson("from, to: must be a range within 0 to ${state.points - 1}")
        }
        val range = from.toInt()..minOf(to, state.points - 1L).toInt()
        if (sweepWriter.cancel(state, range) == WithdrawalResult.UNAVAILABLE) {
            return unavailable(
                "the state service accepts no writes now; repeat the request to withdraw the remaining points",
            )
        }
        log.info("sweep withdrawn sweep={} points={}", state.id, range)
        return ok(details(state))
    }

    private fun ok(body: Map<String, Any?>) = Response(OK, Json.bytes(body))

    private fun unavailable(reason: String) =
        Response(SERVICE_UNAVAILABLE, Json.bytes(mapOf("error" to reason)), mapOf("Retry-After" to "1"))

    private companion object {
        const val OK = 200
        const val CREATED = 201
        const val BAD_REQUEST = 400
        const val NOT_FOUND = 404
        const val CONFLICT = 409
        const val SERVICE_UNAVAILABLE = 503
        const val SWEEPS_PER_PAGE = 200

        /** A line of an answer may have 64 KiB; the entry of a point takes about 70 bytes. */
        const val MAX_POINTS_PER_PAGE = 500
        const val FAILED = "failed"
        val STATES = listOf("open", "running", "done", "withdrawn", "skipped", FAILED)
        const val P50 = 0.5
        const val P90 = 0.9
        const val P99 = 0.99
        const val SECONDS_PER_HUNDREDTH_HOUR = 36.0
        const val HUNDREDTHS = 100.0
    }
}
