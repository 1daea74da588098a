# Plots docs/load.csv: waiting time of each stream against load. Run from the repository's root:
#   gnuplot scripts/plot.gp
set datafile separator ","
set terminal pngcairo size 800,480
set output "docs/img/waiting.png"
set title "Waiting time against load (3 hosts, 48 targets, 384 slots)"
set xlabel "load, percent of the slots"
set ylabel "waiting time over the target's own, ms"
set logscale y
set key left top
set grid
plot "< grep ',checks,' docs/load.csv" using 1:8 with linespoints title "urgent p99", \
     "< grep ',checks,' docs/load.csv" using 1:9 with linespoints title "urgent p99.9", \
     "< grep ',info,' docs/load.csv" using 1:8 with linespoints title "normal p99"
