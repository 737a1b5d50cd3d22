package org.elderhitch.app

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Meter
import io.micrometer.core.instrument.Timer
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import org.elderhitch.http.HttpStatus
import org.elderhitch.http.Request
import org.elderhitch.http.Response
import org.elderhitch.time.SteadyClock
import java.util.concurrent.TimeUnit

/** Counters, timers and gauges of this process, shown under `meters` in `/status`. */
public class Metrics(private val clock: SteadyClock) {
    private val registry = SimpleMeterRegistry()
    private val submissions = Timer.builder("users.submit").register(registry)
    private val polls = Timer.builder("users.show").register(registry)
    private val cancellations = Timer.builder("users.withdraw").register(registry)
    private val refusals = Counter.builder("users.refused").register(registry)
    private val invalidSubmissions = Counter.builder("users.invalid").register(registry)

    /** Registers a gauge whose value is computed whenever the metrics are read. */
    public fun gauge(name: String, value: () -> Number) {
        Gauge.builder(name, value).register(registry)
    }

    /** Serves a user's request about jobs, and records its duration and whether it was refused, for now or for good. */
    public suspend fun recordRequest(request: Request, serve: suspend () -> Response): Response {
        val startedAt = clock.now()
        val response = serve()
        val elapsed = clock.now() - startedAt
        timerOf(request).record(elapsed.inWholeNanoseconds, TimeUnit.NANOSECONDS)
        when (response.status) {
            HttpStatus.SERVICE_UNAVAILABLE -> refusals.increment()
            HttpStatus.BAD_REQUEST, HttpStatus.UNPROCESSABLE_CONTENT -> invalidSubmissions.increment()
        }
        return response
    }

    private fun timerOf(request: Request): Timer = when {
        request.method == "GET" -> polls
        request.path.endsWith("/withdraw") -> cancellations
        else -> submissions
    }

    /** The current values by name, in alphabetical order. */
    public fun read(): Map<String, Any?> =
        registry.meters.sortedBy { it.id.name }.associate { meter -> meter.id.name to valueOf(meter) }

    private fun valueOf(meter: Meter): Any? = when (meter) {
        is Timer -> mapOf(
            "count" to meter.count(),
            "mean_ms" to meter.mean(TimeUnit.MILLISECONDS),
            "max_ms" to meter.max(TimeUnit.MILLISECONDS),
        )

        is Counter -> meter.count()

        is Gauge -> meter.value()

        else -> null
    }
}
