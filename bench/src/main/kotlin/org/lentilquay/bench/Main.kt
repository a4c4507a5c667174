package org.lentilquay.bench

fun main() = println("lentilquay bench")
